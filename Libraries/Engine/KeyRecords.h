#pragma once

#include <Authenticate/Keyring.h>
#include <Configuration/Snapshot.h>

#include <vector>

namespace Chervilpin::Engine {

/// The keys of a configuration as the keyring takes them. A key whose salt or digest isn't
/// hexadecimal is withdrawn; validation keeps such keys from being accepted.
[[nodiscard]] std::vector<Authenticate::KeyRecord> keyRecords(const Configuration::Snapshot &);

} // namespace Chervilpin::Engine
