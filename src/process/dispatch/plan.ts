/** Input and result of a planning pass. */
import type { Millis } from "../../common/clock.js";
import type { QuotaLedger } from "../accounts/quota-ledger.js";
import type { Step, Task } from "../jobs/job.js";
import type { FreedCapacity } from "./gang-assemblies.js";
import type { Headroom } from "./headroom.js";
import type { StepPermits } from "./permits.js";
import type { Preemption } from "./preemption.js";
import type { ProbationInput, RiskyBacklog } from "./probation.js";
import type { Safeguard } from "./safeguards.js";
import type { Urgency } from "./urgency.js";
import type { WorkerState } from "./worker-state.js";

/** State from which a pass plans. */
export interface PlanInput {
    /** Steps with a task to start, in any order. */
    readonly waiting: readonly Urgency[];
    /** Usable workers of each pool. */
    readonly workersByPool: ReadonlyMap<string, readonly WorkerState[]>;
    /**
     * Workers of each pool that have not reported to a new leader yet: permits for them can be requested, but
     * nothing starts there. After a loss of all nodes the first starts thus do not wait for the reports and
     * the permits one after the other.
     */
    readonly unreportedByPool: ReadonlyMap<string, readonly WorkerState[]>;
    /** Permits of a step whose queue needs them. */
    readonly getPermits: (step: Step) => StepPermits;
    /** Capacity that is being freed for gangs. */
    readonly freedCapacity: FreedCapacity;
    /** Gaps that are kept for urgent tasks; undefined if the deployment keeps none. */
    readonly headroom?: Headroom | undefined;
    /** Processors of a worker that steps with a request in flight will probably use, in thousandths. */
    readonly getClaimedCpu: (workerId: string) => number;
    /** Share of named workers that a queue's policy is expected to allow. */
    readonly getAllowedShare: (queue: string) => number;
    /** Whether the nodes could not send all requests to the advice service lately. */
    readonly isAdviceOverloaded: boolean;
    /** Workers that refused orders of a step lately. */
    readonly listRefusing: (step: Step) => ReadonlySet<string>;
    /** What the quotas of client accounts leave. */
    readonly quotas: QuotaLedger;
    /** Queues whose tasks crash workers. */
    readonly probation: ProbationInput;
    /** Tells whether a task must wait because it was lost with its worker repeatedly. */
    readonly isPaused: (task: Task) => boolean;
    /** Time since the last job arrived. */
    readonly sinceSubmitMs: Millis;
    readonly now: Millis;
}

/** A run to start. */
export interface PlannedStart {
    readonly step: Step;
    readonly task: Task;
    readonly worker: WorkerState;
    readonly permit: string | undefined;
    /** Whether a worker was lost just after it had started a task of the step, in a queue on probation. */
    readonly hasEarlyLoss: boolean;
    /** Whether it may crash its worker and starts beside other runs, as it has waited for too long. */
    readonly isShared: boolean;
}

/** A request to make to the advice service. */
export interface PermitRequest {
    readonly urgency: Urgency;
    readonly workerIds: readonly string[];
    /** Whether the step could probably start once it is answered, as there is capacity for it now. */
    readonly hasCapacity: boolean;
}

/** Result of a pass. */
export interface Plan {
    readonly starts: readonly PlannedStart[];
    readonly permitRequests: readonly PermitRequest[];
    readonly preemptions: readonly Preemption[];
    /** Gangs without enough free capacity that reserve what they could use. */
    readonly reservingGangs: readonly Step[];
    /** Steps that have been ready for a while and may not use capacity that is free, with the safeguard that keeps it. */
    readonly withheld: ReadonlyMap<Step, Safeguard>;
    /** Waiting work of queues whose tasks crash workers. */
    readonly backlogs: ReadonlyMap<string, RiskyBacklog>;
}
