#pragma once

#include <Configuration/Validator.h>

#include <Core/Milliseconds.h>
#include <Core/Name.h>

namespace Chervilpin::Configuration {

/// Guards that a test can switch off to show what they prevent. All are on in production.
struct Guards
{
    bool neverGoesBack = true;    ///< Older snapshots and changes are ignored.
    bool checksChain = true;      ///< A change must follow the one that its author saw.
    bool recognisesNonces = true; ///< A change that the log holds already isn't taken again.
    bool keepsTombstones = true;  ///< The number of an old change is never given anew.
    bool checksVersions = true;   ///< A change conflicts if its resources have changed.
};

struct Settings
{
    Core::NodeName self;
    Core::DataCentreName dataCentre;
    Capacity capacity;
    std::uint32_t watchersPerDataCentre = 2;
    std::uint32_t pushFanout = 4;     ///< Peers that a new change is pushed to.
    std::size_t heldChanges = 512;    ///< Changes kept in memory for peers.
    Revision snapshotEvery = 64;      ///< Changes between two snapshots in the platform.
    Revision retainedChanges = 1'024; ///< Changes below the snapshot kept in the platform.
    std::size_t platformPartBytes = 512UL * 1024;
    std::size_t peerPartBytes = 64UL * 1024;
    Core::Duration callTimeout{3'000}; ///< After this a call counts as without an answer.
    Core::Duration watchWait{10'000};  ///< How long one watch waits.
    Core::Duration retryPause{500};    ///< Pause before a failed call is made again.
    Core::Duration proposalDeadline{8'000};
    Core::Duration peerStartGrace{1'000}; ///< Time for peers to bring the configuration.
    Core::Duration fetchTimeout{500};     ///< After this another peer is asked.
    Guards guards;
};

} // namespace Chervilpin::Configuration
