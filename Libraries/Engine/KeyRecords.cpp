#include <Configuration/Credential.h>
#include <Engine/KeyRecords.h>

#include <algorithm>

namespace Chervilpin::Engine {

namespace {

Authenticate::KeyRecord toRecord(const Configuration::Resource &resource)
{
    const auto &spec = std::get<Configuration::KeySpec>(resource.spec);
    const auto salt = Configuration::fromHex(spec.salt);
    const auto digest = Configuration::fromHex(spec.digest);
    const bool isUsable = salt && digest && digest->size() == Authenticate::digestBytes;
    Authenticate::KeyRecord record;
    record.id = Authenticate::KeyId(resource.id.name);
    record.team = spec.team;
    if (!isUsable || spec.isWithdrawn) {
        record.state = Authenticate::KeyState::Withdrawn;
        return record;
    }
    record.salt = *salt;
    std::ranges::copy(*digest, record.digest.begin());
    return record;
}

} // namespace

std::vector<Authenticate::KeyRecord> keyRecords(const Configuration::Snapshot &snapshot)
{
    std::vector<Authenticate::KeyRecord> records;
    for (const auto &resource : snapshot.resources(Configuration::Kind::Key))
        records.push_back(toRecord(resource));
    return records;
}

} // namespace Chervilpin::Engine
