#include <Observe/LineWriter.h>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace Chervilpin::Observe {

namespace {
/// So many bytes are written with one system call.
constexpr std::size_t gatherBytes = std::size_t{4} * 1024;
/// What is kept for a reader that is behind.
constexpr std::size_t maximumGatheredBytes = std::size_t{256} * 1024;
} // namespace

LineWriter::LineWriter(int descriptor)
    : descriptor_(descriptor)
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void LineWriter::write(std::string_view line)
{
    if (gathered_.size() + line.size() > maximumGatheredBytes) {
        ++dropped_;
        return;
    }
    gathered_.append(line).push_back('\n');
    if (gathered_.size() >= gatherBytes)
        flush();
}

void LineWriter::flush()
{
    while (!gathered_.empty()) {
        const ssize_t count = ::write(descriptor_, gathered_.data(), gathered_.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return;
        gathered_.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace Chervilpin::Observe
