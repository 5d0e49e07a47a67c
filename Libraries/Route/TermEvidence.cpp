#include <Route/TermEvidence.h>

#include <algorithm>

namespace Chervilpin::Route {

namespace {
constexpr std::size_t maximumTerms = 6;
}

void TermEvidence::add(const Upstream::Status &status, const Stamp &asked)
{
    highestKnownTerm_ = std::max(highestKnownTerm_, status.knownTerm);
    recordHeld(status.held);
    recordKnownTerm(status.knownTerm, asked);
    if (entries_.size() > maximumTerms)
        entries_.erase(entries_.begin());
}

void TermEvidence::discardAbove(Core::LogMark held)
{
    for (Entry &entry : entries_) {
        if (entry.term > held.term)
            entry.isHeld = false;
        else
            entry.highestHeld = std::min(entry.highestHeld, held.position);
    }
}

bool TermEvidence::held(Core::LogMark mark) const
{
    return std::ranges::any_of(entries_, [&](const Entry &entry) {
        return entry.term == mark.term && entry.isHeld && entry.highestHeld >= mark.position;
    });
}

bool TermEvidence::canNeverHold(Core::LogMark mark) const
{
    return highestKnownTerm_ > mark.term && !held(mark);
}

bool TermEvidence::wasUnfencedAfter(Core::Term term, const Stamp &since) const
{
    return std::ranges::any_of(entries_, [&](const Entry &entry) {
        return entry.term <= term && entry.isKnown && entry.lastKnownAsked.order > since.order;
    });
}

bool TermEvidence::wasUnfencedSince(Core::Term term, Core::Instant since) const
{
    return std::ranges::any_of(entries_, [&](const Entry &entry) {
        return entry.term <= term && entry.isKnown && entry.lastKnownAsked.at >= since;
    });
}

TermEvidence::Entry &TermEvidence::entry(Core::Term term)
{
    const auto place = std::ranges::lower_bound(entries_, term, {}, &Entry::term);
    if (place != entries_.end() && place->term == term)
        return *place;
    return *entries_.insert(place, Entry{.term = term});
}

void TermEvidence::recordHeld(Core::LogMark held)
{
    Entry &noted = entry(held.term);
    noted.isHeld = true;
    noted.highestHeld = std::max(noted.highestHeld, held.position);
}

void TermEvidence::recordKnownTerm(Core::Term term, const Stamp &asked)
{
    Entry &noted = entry(term);
    if (noted.isKnown && noted.lastKnownAsked.order >= asked.order)
        return;
    noted.isKnown = true;
    noted.lastKnownAsked = asked;
}

} // namespace Chervilpin::Route
