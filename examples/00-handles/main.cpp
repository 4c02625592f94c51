/** @file Example: typed handles and verdicts of the public headers. */

#include "eelgrassnotch/types.h"
#include "eelgrassnotch/verdict.h"

#include <iostream>

using namespace eelgrassnotch;

int main()
{
    constexpr auto workspace = handleOf<WorkspaceHandle>("counter-staff");
    constexpr WorkspaceHandle nobody;
    static_assert(workspace.isValid() && !nobody.isValid());
    std::cout << "counter-staff has handle " << workspace.id << "\n";
    const Refusal refusal {RefusalReason::QueueFull, Verdict::NotRun, std::chrono::seconds(3), "too many waiting requests"};
    std::cout << "refused: " << nameOf(refusal.reason) << ", " << nameOf(refusal.verdict) << ", status " << statusOf(refusal.reason)
              << "\n";
    return 0;
}
