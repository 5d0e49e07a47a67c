#include <Fleet/TextDelta.h>

#include <Core/Hash.h>

#include <unordered_map>

namespace Chervilpin::Fleet {

namespace {

/// Removes the next part of a text: up to the end of a JSON object.
std::string_view takeChunk(std::string_view &text)
{
    const auto end = text.find('}');
    const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
    const std::string_view chunk = text.substr(0, length);
    text.remove_prefix(length);
    return chunk;
}

/// Appends a copy of a part of the base, which extends the last one if it follows it.
void appendCopy(std::vector<TextDelta::Piece> &pieces, std::size_t offset, std::size_t length)
{
    if (!pieces.empty()) {
        TextDelta::Piece &last = pieces.back();
        if (last.literal.empty() && last.offset + last.length == offset) {
            last.length += length;
            return;
        }
    }
    pieces.push_back({offset, length, {}});
}

} // namespace

std::size_t TextDelta::literalBytes() const
{
    std::size_t total = 0;
    for (const auto &piece : pieces)
        total += piece.literal.size();
    return total;
}

TextDelta makeDelta(std::string_view base, std::string_view target)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (std::string_view rest = base; !rest.empty();) {
        const std::size_t offset = base.size() - rest.size();
        offsets.try_emplace(takeChunk(rest), offset);
    }
    TextDelta delta;
    delta.baseHash = Core::hashOf(base);
    delta.resultHash = Core::hashOf(target);
    while (!target.empty()) {
        const std::string_view chunk = takeChunk(target);
        const auto found = offsets.find(chunk);
        if (found != offsets.end()) {
            appendCopy(delta.pieces, found->second, chunk.size());
            continue;
        }
        if (delta.pieces.empty())
            delta.pieces.emplace_back();
        delta.pieces.back().literal += chunk;
    }
    return delta;
}

Core::ErrorOr<std::string> applyDelta(std::string_view base, const TextDelta &delta)
{
    if (Core::hashOf(base) != delta.baseHash)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "text delta is for another base than the one of "
                                 + std::to_string(base.size()) + " bytes");
    std::string result;
    for (const auto &piece : delta.pieces) {
        if (piece.offset > base.size() || piece.length > base.size() - piece.offset)
            return Core::failure(Core::ErrorCode::InvalidArgument,
                                 "text delta copies beyond its base of "
                                     + std::to_string(base.size()) + " bytes");
        result += base.substr(piece.offset, piece.length);
        result += piece.literal;
    }
    if (Core::hashOf(result) != delta.resultHash)
        return Core::failure(Core::ErrorCode::InvalidArgument,
                             "text delta yields another text than it was made for");
    return result;
}

} // namespace Chervilpin::Fleet
