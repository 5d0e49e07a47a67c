#pragma once

#include <Authenticate/KeyText.h>
#include <Borrow/ConnectionPool.h>
#include <Core/LogMark.h>
#include <Core/Milliseconds.h>
#include <Core/Name.h>
#include <Engine/Actions.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chervilpin::Engine {

/// A transaction between its Begin and its end, pinned to one connection.
struct Transaction
{
    std::string name;
    Core::TeamName team;
    Authenticate::KeyId keyId;
    Core::GroupName group;
    Core::DatabaseName database;
    ConnectionId connection = 0;
    Core::Term term = 0;
    Core::Instant lastUsed;
    std::optional<RequestId> running; ///< The request whose statement is unanswered.
    bool isCut = false;               ///< To be rolled back once its statement is answered.
};

/// The open transactions of this node.
class TransactionTable
{
public:
    void add(Transaction transaction)
    {
        const std::string name = transaction.name;
        transactions_.emplace(name, std::move(transaction));
    }

    void remove(std::string_view name)
    {
        const auto found = transactions_.find(name);
        if (found != transactions_.end())
            transactions_.erase(found);
    }

    [[nodiscard]] Transaction *find(std::string_view name)
    {
        const auto found = transactions_.find(name);
        return found == transactions_.end() ? nullptr : &found->second;
    }

    [[nodiscard]] Transaction *findByConnection(ConnectionId id)
    {
        for (auto &[name, transaction] : transactions_) {
            if (transaction.connection == id)
                return &transaction;
        }
        return nullptr;
    }

    /// The names of all transactions for which the predicate holds.
    template<typename Predicate>
    [[nodiscard]] std::vector<std::string> namesIf(Predicate predicate) const
    {
        std::vector<std::string> names;
        for (const auto &[name, transaction] : transactions_) {
            if (predicate(transaction))
                names.push_back(name);
        }
        return names;
    }

    [[nodiscard]] bool isEmpty() const { return transactions_.empty(); }

private:
    std::map<std::string, Transaction, std::less<>> transactions_;
};

} // namespace Chervilpin::Engine
