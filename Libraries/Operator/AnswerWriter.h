#pragma once

#include <Operator/Messages.h>

#include <Configuration/Actions.h>
#include <Core/Error.h>
#include <Membership/Manager.h>

#include <boost/json/object.hpp>

namespace Chervilpin::Operator {

[[nodiscard]] OperatorAnswer answerWith(RequestId, unsigned status, const boost::json::object &);

/// `{"error": {code, message, errors}}` with the status code that belongs to the error's class.
[[nodiscard]] OperatorAnswer answerWithError(RequestId, const Core::Error &,
                                             const Configuration::FieldErrors &errors = {});

/// The answer to a proposal, with what it changed.
[[nodiscard]] OperatorAnswer answerToProposal(RequestId, const Configuration::ProposalAnswer &,
                                              const boost::json::array &effects);

/// What `GET /v1/status` tells of the members.
[[nodiscard]] boost::json::object describeFleet(const Membership::Manager &);

} // namespace Chervilpin::Operator
