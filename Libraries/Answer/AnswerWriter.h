#pragma once

#include <Engine/CallerMessages.h>

#include <string>

namespace Chervilpin::Answer {

/// An answer as it goes to the caller, free of any transport.
struct AnswerText
{
    unsigned httpStatus = 200;
    std::string body;               ///< A JSON object; docs/CONTRACTS.md has its fields.
    std::string session;            ///< The `Chervilpin-Session` header, or empty.
    unsigned retryAfterSeconds = 0; ///< The `Retry-After` header, rounded up; 0: none.
};

/// Writes an answer. The HTTP status follows from the reason alone.
[[nodiscard]] AnswerText writeAnswer(const Engine::CallerAnswer &);

} // namespace Chervilpin::Answer
