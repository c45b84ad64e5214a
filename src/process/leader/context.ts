/** Dependencies and state that the components of one leader share. */
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

/** What the components of a leader share while it leads. */
export interface LeaderContext {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly epoch: number;
    readonly jobs: JobRegistry;
    readonly workerPort: TaskWorkerPort;
    readonly authority: Authority;
    /** When each step's runs last began or ended. */
    readonly history: StepHistory;
    /** Duration of the leases that workers are granted. */
    readonly leaseMs: Millis;
    /** Time that a worker may take to stop a run. */
    readonly stopMs: Millis;
    /** How late the timers of this process fire. */
    readonly lateness: Lateness;
    /** Leases that earlier leaders granted and that may still be valid. */
    readonly inheritedLeases: InheritedLeases;
    readonly getConfig: () => ClusterConfig;
    /** Whether the configuration in force is recent enough to grant requests access by it. */
    readonly isConfigConfirmed: () => boolean;
    /**
     * Finds the settings for a queue's jobs, also after the queue was removed from the configuration;
     * undefined if no leader has recorded them.
     */
    readonly findQueueByName: (name: string) => QueueConfig | undefined;
    /** Predicts the run time of a step's tasks; infinite for tasks that run until they are stopped. */
    readonly predictRunMs: (step: Step) => Millis;
    /**
     * Finds the priority below which queues may preempt a step's runs; undefined if preemption would lose
     * their work.
     */
    readonly findPreemptibleBelow: (step: Step) => number | undefined;
    /** Asks the store whether this leader still leads. */
    readonly confirmLeading: () => Promise<boolean>;
    /**
     * Applies an event and appends it to the journal; `handleCommitted` is called once the event is durable.
     */
    readonly record: (event: JobEvent, handleCommitted?: () => void) => void;
    /** Applies an event and appends it to the journal, to be written together with the next one. */
    readonly recordDeferred: (event: JobEvent) => void;
    /** Calls `notify` once everything recorded so far is durable. */
    readonly runWhenCommitted: (notify: () => void) => void;
    /** Schedules a planning pass. */
    readonly requestPass: () => void;
    /** Called when there is evidence that another node leads. */
    readonly handleDeposed: (reason: string) => void;
}
