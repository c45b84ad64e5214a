/** What the parts of a leader share. */
import type { Clock, Millis } from "../../common/clock.js";
import type { Lateness } from "../../common/lateness.js";
import type { ClusterConfig, QueueConfig } from "../../version/cluster-config.js";
import type { JobEvent } from "../jobs/job-events.js";
import type { JobRegistry } from "../jobs/job-registry.js";
import type { Step } from "../jobs/job.js";
import type { InheritedLeases } from "../leadership/inherited-leases.js";
import type { TaskWorkerPort } from "../ports/task-worker-port.js";
import type { Log, Metrics } from "../telemetry.js";
import type { Authority } from "./authority.js";
import type { StepHistory } from "./step-history.js";

/** Shared by the parts of one leader, for as long as it leads. */
export interface LeaderContext {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly epoch: number;
    readonly book: JobRegistry;
    readonly workerPort: TaskWorkerPort;
    readonly authority: Authority;
    /** When steps' runs last began or ended. */
    readonly history: StepHistory;
    /** Length of the leases given to workers. */
    readonly leaseMs: Millis;
    /** How late this process is. */
    readonly lateness: Lateness;
    /** Leases given by earlier leaders. */
    readonly inheritedLeases: InheritedLeases;
    readonly getConfig: () => ClusterConfig;
    /** Finds the settings for a queue's jobs, also where it was removed; undefined where no leader has known them. */
    readonly findQueueByName: (name: string) => QueueConfig | undefined;
    /** Returns the run time to expect of a step's tasks; infinite where they run until they are stopped. */
    readonly predictRunMs: (step: Step) => Millis;
    /** Finds which queues may have a step's runs stopped; undefined where stopping would lose what they have done. */
    readonly findYieldLimit: (step: Step) => number | undefined;
    /** Tells whether this leader still leads, by word of the store. */
    readonly confirmLeading: () => Promise<boolean>;
    /** Applies an event and makes it durable; `handleCommitted` is called once it is. */
    readonly record: (event: JobEvent, handleCommitted?: () => void) => void;
    /** Calls back once everything recorded so far is durable. */
    readonly runWhenCommitted: (notify: () => void) => void;
    /** Asks for a planning pass soon. */
    readonly requestPass: () => void;
    /** Another node leads. */
    readonly handleDeposed: (reason: string) => void;
}
