#include <StandIn/LineFile.h>

#include <Core/Verify.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/types.h>
#include <unistd.h>
#include <utility>

namespace Chervilpin::StandIn {

namespace {

struct Content
{
    std::vector<std::string> lines;
    off_t length = 0; ///< Of the whole lines.
};

Content readLines(const std::string &path)
{
    Content content;
    std::ifstream file(path, std::ios::binary);
    std::string line;
    // A line that ends with the file has no end of its own.
    while (std::getline(file, line) && !file.eof()) {
        content.length += static_cast<off_t>(line.size() + 1);
        content.lines.push_back(std::move(line));
    }
    return content;
}

} // namespace

Core::ErrorOr<LineFile> LineFile::create(const std::string &path)
{
    auto content = readLines(path);
    const int descriptor = ::open(path.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);
    if (descriptor < 0 || ::ftruncate(descriptor, content.length) != 0)
        return Core::failure(Core::ErrorCode::Unavailable,
                             "can't open " + path + ": " + std::strerror(errno));
    return LineFile(descriptor, std::move(content.lines));
}

LineFile::LineFile(LineFile &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , lines_(std::move(other.lines_))
{ }

LineFile::~LineFile()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

void LineFile::append(std::string_view line)
{
    auto rest = std::string(line) + '\n';
    while (!rest.empty()) {
        const auto count = ::write(descriptor_, rest.data(), rest.size());
        VERIFY(count > 0 || errno == EINTR);
        rest.erase(0, count > 0 ? static_cast<std::size_t>(count) : 0);
    }
}

} // namespace Chervilpin::StandIn
