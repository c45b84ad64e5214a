/** Builds the input of a planning pass from defaults: no quotas, no permits, no preemptions, nothing withheld. */
import { AccountUse } from "../../process/accounts/account-use.js";
import { QuotaLedger } from "../../process/accounts/quota-ledger.js";
import { StepPermits } from "../../process/dispatch/permits.js";
import type { PlanInput } from "../../process/dispatch/plan.js";
import { PreemptionAttempts } from "../../process/dispatch/preemption-attempts.js";
import { NO_PROBATION } from "../../process/dispatch/probation.js";

/** The fields that each test sets, and changes of the others. */
export type PlanInputChange =
    & Pick<PlanInput, "waiting" | "workersByPool" | "now">
    & Partial<PlanInput>;

export function makePlanInput(change: PlanInputChange): PlanInput {
    return {
        quotas: new QuotaLedger(undefined, new AccountUse()),
        unreportedByPool: new Map(),
        getPermits: () => new StepPermits(),
        freedCapacity: new PreemptionAttempts(),
        getClaimedCpu: () => 0,
        getAllowedShare: () => 0.4,
        isAdviceOverloaded: false,
        listRefusing: () => new Set(),
        probation: NO_PROBATION,
        isPaused: () => false,
        sinceSubmitMs: 0,
        ...change,
    };
}
