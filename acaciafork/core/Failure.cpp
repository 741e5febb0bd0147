#include "acaciafork/core/Failure.h"

#include <array>

#include "acaciafork/core/Assert.h"

namespace acaciafork {
namespace {

/// How one kind of failure shows at the interfaces.
struct KindRow
{
    FailureKind kind;
    std::string_view name;
    int status;
    int exitCode;
};

constexpr std::array<KindRow, 14> kindRows { {
        { FailureKind::InvalidArgument, "invalid-argument", 400, 2 },
        { FailureKind::Unauthorized, "unauthorized", 401, 3 },
        { FailureKind::NotFound, "not-found", 404, 4 },
        { FailureKind::Conflict, "conflict", 409, 5 },
        { FailureKind::TooLarge, "too-large", 413, 6 },
        { FailureKind::NotReady, "not-ready", 503, 7 },
        { FailureKind::Overloaded, "overloaded", 429, 8 },
        { FailureKind::Timeout, "timeout", 504, 9 },
        { FailureKind::Unreachable, "unreachable", 502, 10 },
        { FailureKind::Protocol, "protocol", 502, 11 },
        { FailureKind::Storage, "storage", 500, 12 },
        { FailureKind::Corrupt, "corrupt", 500, 13 },
        { FailureKind::Full, "full", 507, 14 },
        { FailureKind::Internal, "internal", 500, 1 },
} };

const KindRow &rowOf(FailureKind kind)
{
    const auto &row = kindRows.at(static_cast<std::size_t>(kind));
    ACACIAFORK_ASSERT(row.kind == kind);
    return row;
}

} // namespace

std::string_view failureKindName(FailureKind kind)
{
    return rowOf(kind).name;
}

int httpStatus(FailureKind kind)
{
    return rowOf(kind).status;
}

int exitCode(FailureKind kind)
{
    return rowOf(kind).exitCode;
}

} // namespace acaciafork
