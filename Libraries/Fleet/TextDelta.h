#pragma once

#include <Core/Result.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Fleet {

/// A text as changes to an earlier one.
struct TextDelta
{
    struct Piece
    {
        /// A part of the base that is copied; nothing if the length is 0.
        std::size_t offset = 0;
        std::size_t length = 0;
        std::string literal; ///< Follows the copied part.
    };

    std::uint64_t baseHash = 0;
    std::uint64_t resultHash = 0;
    std::vector<Piece> pieces;

    /// The number of bytes that are not copied.
    [[nodiscard]] std::size_t literalBytes() const;
};

/// Compares JSON texts by their objects: an object that stands in both texts is copied.
[[nodiscard]] TextDelta makeDelta(std::string_view base, std::string_view target);

/// Fails with InvalidArgument if the delta is for another base or doesn't yield the text that it
/// was made for.
[[nodiscard]] Core::ErrorOr<std::string> applyDelta(std::string_view base, const TextDelta &);

} // namespace Chervilpin::Fleet
