#include <Configuration/Relay.h>

#include <algorithm>

namespace Chervilpin::Configuration {

namespace {

constexpr std::size_t maxChangesMessageBytes = 256UL * 1024;
constexpr std::size_t startPeers = 3;
constexpr Core::Duration snapshotPause(1'000); ///< Between two snapshots sent to one peer.

} // namespace

Relay::Relay(const Settings &settings, ChangeLog &log, Core::Random &random)
    : settings_(settings)
    , log_(log)
    , random_(random)
{ }

void Relay::setPeers(std::vector<Core::NodeName> peers)
{
    std::ranges::sort(peers);
    peers_ = std::move(peers);
    std::erase_if(snapshotSentAt_, [&](const auto &entry) {
        return !std::ranges::binary_search(peers_, entry.first);
    });
}

void Relay::start(Core::Instant now, Core::Instant until, Actions &actions)
{
    askUntil_ = until;
    askSomePeers(now, actions);
}

void Relay::askSomePeers(Core::Instant now, Actions &actions)
{
    nextAskAt_ = now + settings_.fetchTimeout;
    for (const Core::NodeName &peer : choosePeers(startPeers))
        send(peer, RelayFetch{log_.revision()}, actions);
}

void Relay::tick(Core::Instant now, Actions &actions)
{
    if (log_.revision() == 0 && now < askUntil_ && now >= nextAskAt_)
        askSomePeers(now, actions);
}

std::vector<Core::NodeName> Relay::choosePeers(std::size_t count)
{
    std::vector<Core::NodeName> chosen = peers_;
    count = std::min(count, chosen.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(chosen[i], chosen[i + random_.below(chosen.size() - i)]);
    chosen.resize(count);
    return chosen;
}

void Relay::push(const std::vector<std::string> &texts, Actions &actions)
{
    for (const Core::NodeName &peer : choosePeers(settings_.pushFanout))
        sendChanges(peer, texts, actions);
}

void Relay::peerStatus(const Core::NodeName &peer, Revision revision, std::uint64_t digest,
                       Core::Instant now, Actions &actions)
{
    const bool isFork = revision == log_.revision() && digest != log_.snapshot()->digest();
    if (isFork)
        log_.noteFork(revision);
    if (revision > log_.revision())
        fetch(peer, now, actions);
}

void Relay::fetch(const Core::NodeName &from, Core::Instant now, Actions &actions)
{
    if (now < fetchUntil_)
        return;
    fetchUntil_ = now + settings_.fetchTimeout;
    send(from, RelayFetch{log_.revision()}, actions);
}

void Relay::peerMessage(const Peer::Incoming &incoming, Core::Instant now, Actions &actions)
{
    const auto message = decodeRelayMessage(incoming.payload);
    if (!message) {
        actions.emplace_back(Event{EventKind::PeerGarbage, 0,
                                   incoming.from.value() + ": " + message.error().message});
        return;
    }
    std::visit([&](const auto &body) { handle(incoming.from, body, now, actions); }, *message);
}

void Relay::handle(const Core::NodeName &from, const RelayChanges &changes, Core::Instant now,
                   Actions &actions)
{
    for (const std::string &text : changes.texts) {
        const AppendResult result = log_.append(text);
        if (result == AppendResult::Garbage) {
            actions.emplace_back(
                Event{EventKind::PeerGarbage, 0, from.value() + ": change can't be read"});
            return;
        }
        if (result == AppendResult::Gap) {
            fetch(from, now, actions);
            return;
        }
    }
}

void Relay::handle(const Core::NodeName &from, const RelayAdvert &advert, Core::Instant now,
                   Actions &actions)
{
    peerStatus(from, advert.revision, advert.digest, now, actions);
}

void Relay::handle(const Core::NodeName &from, const RelayFetch &request, Core::Instant now,
                   Actions &actions)
{
    if (request.after >= log_.revision()) {
        send(from, RelayAdvert{log_.revision(), log_.snapshot()->digest()}, actions);
        if (request.after > log_.revision())
            fetch(from, now, actions);
        return;
    }
    if (const auto texts = log_.textsAfter(request.after)) {
        sendChanges(from, *texts, actions);
        return;
    }
    const auto sent = snapshotSentAt_.find(from);
    if (sent != snapshotSentAt_.end() && now < sent->second + snapshotPause)
        return;
    snapshotSentAt_[from] = now;
    sendSnapshot(from, actions);
}

void Relay::sendChanges(const Core::NodeName &to, const std::vector<std::string> &texts,
                        Actions &actions)
{
    RelayChanges batch;
    std::size_t bytes = 0;
    for (const std::string &text : texts) {
        if (!batch.texts.empty() && bytes + text.size() > maxChangesMessageBytes) {
            send(to, batch, actions);
            batch.texts.clear();
            bytes = 0;
        }
        batch.texts.push_back(text);
        bytes += text.size();
    }
    if (!batch.texts.empty())
        send(to, batch, actions);
}

void Relay::sendSnapshot(const Core::NodeName &to, Actions &actions)
{
    const std::string text = encodeSnapshot(*log_.snapshot());
    const std::size_t size = settings_.peerPartBytes;
    const auto count = static_cast<std::uint32_t>((text.size() + size - 1) / size);
    for (std::uint32_t index = 0; index < count; ++index) {
        send(to, RelaySnapshotPart{log_.revision(), index, count, text.substr(index * size, size)},
             actions);
    }
}

void Relay::handle(const Core::NodeName &from, const RelaySnapshotPart &part, Core::Instant now,
                   Actions &actions)
{
    if (part.revision <= log_.revision() || part.revision < assembly_.revision)
        return;
    if (part.revision != assembly_.revision || part.count != assembly_.count)
        assembly_ = {part.revision, part.count, {}};
    assembly_.parts.emplace(part.index, part.text);
    // More parts may be under way, so another peer needn't be asked yet.
    fetchUntil_ = now + settings_.fetchTimeout;
    if (assembly_.parts.size() == assembly_.count)
        adoptAssembly(from, now, actions);
}

void Relay::adoptAssembly(const Core::NodeName &from, Core::Instant now, Actions &actions)
{
    std::string text;
    for (const auto &[index, part] : assembly_.parts)
        text += part;
    assembly_ = {};
    fetchUntil_ = now;
    auto snapshot = decodeSnapshot(text);
    if (!snapshot) {
        actions.emplace_back(
            Event{EventKind::PeerGarbage, 0, from.value() + ": " + snapshot.error().message});
        return;
    }
    if (log_.adopt(std::move(*snapshot)))
        actions.emplace_back(Event{EventKind::CaughtUpFromPeer, log_.revision(), from.value()});
}

void Relay::send(const Core::NodeName &to, const RelayMessage &message, Actions &actions)
{
    actions.emplace_back(
        Peer::Outgoing{to, Peer::MessageKind::Configuration, encodeRelayMessage(message)});
}

} // namespace Chervilpin::Configuration
