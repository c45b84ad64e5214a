/** Handles the requests of callers at the leader. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { findQueue } from "../../version/cluster-config.js";
import type { AccountConfig, QueueConfig } from "../../version/cluster-config.js";
import { decideAccess, findAccount, mayAccessJob } from "../accounts/access.js";
import { JobRates } from "../accounts/job-rates.js";
import { canQuotaHold } from "../accounts/quota-ledger.js";
import { JobPhase } from "../jobs/job-events.js";
import type { JobSpec } from "../jobs/job-spec.js";
import { listSteps } from "../jobs/job.js";
import type { Job } from "../jobs/job.js";
import type { Journal } from "../journal/journal.js";
import type { LogValue } from "../telemetry.js";
import { decideAdmission, decideBacklogAdmission, decideRiskyAdmission, isContended } from "./admission.js";
import type { Admission, Contention } from "./admission.js";
import type { AdviceBacklog } from "./advice-backlog.js";
import type { LeaderContext } from "./context.js";
import type { QueueSettings } from "./queue-settings.js";
import { RefusalReason } from "./requests.js";
import type { CallerReply, CallerRequest } from "./requests.js";
import type { RunEndHandler } from "./run-end-handler.js";

/** When a caller may retry after its job did not fit into the quota, which only the operator can raise. */
const QUOTA_RETRY_MS: Millis = 30_000;
/** When a caller may retry while the store has not confirmed the configuration. */
const CONFIG_UNCONFIRMED_RETRY_MS: Millis = 1_000;
/** When a caller may retry during an outage of the store; such outages last seconds. */
const STORE_UNAVAILABLE_RETRY_MS: Millis = 1_000;
/** Minimum time for which ended jobs are shown; deployments require 120 s. */
const RETENTION_MS: Millis = 240_000;
const JOB_ID_PATTERN = /^[0-9a-f]{16}$/i;

type Reply = (reply: CallerReply) => void;

/** A job that a caller submits. */
interface Submission {
    readonly jobId: string;
    readonly queue: QueueConfig;
    /** Client account; undefined for an anonymous request. */
    readonly account: string | undefined;
    readonly spec: JobSpec;
}

/** Accepts, shows and cancels jobs for callers. */
export class JobRequestHandler {
    /** Callers that wait until the acceptance of a job is durable, by job. */
    private readonly waiting = new Map<string, Reply[]>();
    /** All callers without a reply; they get one when this leader closes. */
    private readonly unanswered = new Set<Reply>();
    private readonly rates: JobRates;
    private lastSubmittedAt: Millis;

    /**
     * @param journal - Knows whether the store is unavailable.
     * @param ends - Stops the runs of cancelled jobs.
     * @param queues - Records the settings of accepted jobs' queues.
     * @param random - Decides which jobs are refused under overload, and spreads the retry times.
     * @param adviceBacklog - Measures what the accepted jobs owe at the advice service.
     * @param measureContention - Measures how much room there is for jobs to which nobody is entitled.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly journal: Journal,
        private readonly ends: RunEndHandler,
        private readonly queues: QueueSettings,
        private readonly random: Random,
        private readonly adviceBacklog: AdviceBacklog,
        private readonly measureContention: () => Contention,
    ) {
        this.rates = new JobRates(context.clock, context.jobs.listAll());
        this.lastSubmittedAt = context.clock.now();
    }

    /** Returns when the last job arrived, accepted or not; when this leader started if none did. */
    getLastSubmittedAt(): Millis {
        return this.lastSubmittedAt;
    }

    /** Answers a request; the promise resolves once the answer is durable. */
    serve(request: CallerRequest): Promise<CallerReply> {
        if (request.kind === "submit") {
            this.lastSubmittedAt = this.context.clock.now();
        }
        return new Promise(resolve => {
            const reply: Reply = answer => {
                this.unanswered.delete(reply);
                resolve(answer);
            };
            this.unanswered.add(reply);
            this.dispatchRequest(request, reply);
        });
    }

    /** While the store is unavailable, refuses jobs whose acceptance no write attempt has sent yet. */
    refuseWhileStalled(): void {
        if (!this.journal.isStalled()) {
            return;
        }
        this.journal.withdrawAcceptances(jobId => {
            const job = this.context.jobs.get(jobId);
            if (job !== undefined) {
                this.ends.releaseJob(job);
            }
            this.context.jobs.dropUncommitted(jobId);
            this.finishWaiting(jobId, buildStoreUnavailable());
        });
    }

    /**
     * Forgets jobs that ended longer ago than the retention time, and settings of queues that no job needs.
     */
    forgetOld(): void {
        this.queues.forgetUnused();
        const limit = this.context.clock.wallNow() - RETENTION_MS;
        for (const job of this.context.jobs.listAll()) {
            if (job.endedAt !== 0 && job.endedAt < limit) {
                this.context.record({ type: "forgotten", jobId: job.id });
            }
        }
    }

    /** Tells all waiting callers that the outcome is unknown to this leader. */
    close(): void {
        for (const reply of [...this.unanswered]) {
            reply({ kind: "unknown", message: "the leader has changed" });
        }
        this.waiting.clear();
    }

    private dispatchRequest(request: CallerRequest, reply: Reply): void {
        if (!this.context.isConfigConfirmed()) {
            reply({
                kind: "refused",
                reason: RefusalReason.configUnconfirmed,
                retryAfterMs: CONFIG_UNCONFIRMED_RETRY_MS,
            });
            return;
        }
        const config = this.context.getConfig();
        const match = findQueue(config, request.host, request.path);
        if (match === undefined) {
            reply({ kind: "noQueue" });
            return;
        }
        const { queue, rest } = match;
        const access = decideAccess(config, queue, request.credential);
        if (access.kind === "denied") {
            reply({ kind: "unauthorized", reason: access.reason });
            return;
        }
        const { account } = access;
        if (request.kind === "show" && rest === "") {
            reply({ kind: "pending", count: this.context.jobs.countPending(queue.name) });
            return;
        }
        if (!JOB_ID_PATTERN.test(rest)) {
            reply({ kind: "malformed" });
            return;
        }
        switch (request.kind) {
            case "submit":
                return this.submit({ jobId: rest, queue, account, spec: request.spec }, reply);
            case "show":
                return this.show(rest, account, reply);
            case "cancel":
                return this.cancel(rest, account, reply);
        }
    }

    private submit(submission: Submission, reply: Reply): void {
        const { jobId, queue, account, spec } = submission;
        const known = this.context.jobs.get(jobId);
        if (known !== undefined && !mayAccessJob(account, known.account)) {
            reply({ kind: "jobIdTaken" });
            return;
        }
        const waiting = this.waiting.get(jobId);
        if (waiting !== undefined) {
            waiting.push(reply);
            return;
        }
        if (known !== undefined) {
            reply({ kind: "accepted" });
            return;
        }
        if (this.journal.isStalled()) {
            this.logDecision(jobId, queue.name, "refused", "the store does not answer");
            reply(buildStoreUnavailable());
            return;
        }
        const at = this.context.clock.wallNow();
        const event = { type: "accepted", jobId, queue: queue.name, account, spec, at } as const;
        if (!this.journal.canStore(event)) {
            this.logDecision(
                jobId,
                queue.name,
                "refused",
                "the job is larger than a value of the store may be",
            );
            reply({ kind: "refused", reason: RefusalReason.jobTooLarge, retryAfterMs: 0 });
            return;
        }
        const settings = findAccount(this.context.getConfig(), account);
        const isBeyondRate = settings !== undefined && !this.rates.isEntitled(settings, jobId);
        if (
            settings !== undefined && this.refuseIfNeverHeld(submission, settings, reply) ||
            isBeyondRate && this.refuseIfContended(submission, settings, reply) ||
            this.refuseIfOverloaded(jobId, queue, reply) || this.refuseIfBacklogged(jobId, queue, spec, reply)
        ) {
            return;
        }
        this.waiting.set(jobId, [reply]);
        if (settings !== undefined) {
            this.rates.take(settings, jobId);
        }
        this.queues.store(queue);
        this.ends.crashes.observeAccepted(queue.name, spec);
        this.context.record(isBeyondRate ? { ...event, isBeyondRate } : event, () => {
            this.logDecision(jobId, queue.name, "accepted", "durable");
            this.finishWaiting(jobId, { kind: "accepted" });
            this.context.requestPass();
        });
        // A pass can already request permits while the acceptance becomes durable.
        this.context.requestPass();
    }

    /** Refuses a job beyond its account's rate if there is no room for it; returns whether it did. */
    private refuseIfContended({ jobId, queue }: Submission, account: AccountConfig, reply: Reply): boolean {
        const contention = this.measureContention();
        if (!isContended(contention)) {
            return false;
        }
        const retryAfterMs = Math.round(this.rates.reserveTurn(account, jobId));
        this.logDecision(jobId, queue.name, "refused", "the account has used up its rate of jobs", {
            account: account.name,
            rate: account.weight,
            retryAfterMs,
            ...contention,
        });
        reply({ kind: "refused", reason: RefusalReason.rateExceeded, retryAfterMs });
        return true;
    }

    /** Refuses a job that its account's quota could never hold; returns whether it did. */
    private refuseIfNeverHeld(
        { jobId, queue, spec }: Submission,
        { name, quota }: AccountConfig,
        reply: Reply,
    ): boolean {
        const unheld = spec.steps.find(({ isGang, demand, taskCount }) =>
            !canQuotaHold(quota, demand, isGang ? taskCount : 1)
        );
        if (unheld === undefined) {
            return false;
        }
        this.logDecision(jobId, queue.name, "refused", "the quota is smaller than what must run at once", {
            account: name,
            tasks: unheld.isGang ? unheld.taskCount : 1,
            cpuMillis: unheld.demand.cpuMillis,
            quotaCpuMillis: quota.cpuMillis,
        });
        reply({ kind: "refused", reason: RefusalReason.quotaTooSmall, retryAfterMs: QUOTA_RETRY_MS });
        return true;
    }

    /**
     * Refuses a job if the leader is overloaded or the queue's tasks crash workers; returns whether it did.
     */
    private refuseIfOverloaded(jobId: string, queue: QueueConfig, reply: Reply): boolean {
        const backlog = this.ends.crashes.findBacklog(queue.name);
        const risky = backlog && decideRiskyAdmission(backlog, this.random.pickFraction());
        const admission = risky?.kind === "overloaded" ? risky : this.decideAdmission(queue);
        if (admission.kind === "admitted") {
            return false;
        }
        const { share, retryAfterMs } = admission;
        if (admission === risky) {
            this.logDecision(jobId, queue.name, "refused", "the queue's tasks crash workers", { ...backlog });
            reply({ kind: "refused", reason: RefusalReason.queueOnProbation, retryAfterMs });
        }
        else {
            this.logDecision(jobId, queue.name, "refused", "the leader is late", {
                latenessMs: Math.round(this.context.lateness.getMeanLatenessMs()),
                refusedShare: share,
            });
            reply({ kind: "refused", reason: RefusalReason.overloaded, retryAfterMs });
        }
        return true;
    }

    /**
     * Refuses a job whose requests to the advice service the nodes could not send soon; returns whether it did.
     */
    private refuseIfBacklogged(jobId: string, queue: QueueConfig, spec: JobSpec, reply: Reply): boolean {
        const backlog = this.adviceBacklog.measure(queue, spec);
        const admission = backlog && decideBacklogAdmission(backlog, this.random.pickFraction());
        if (admission?.kind !== "overloaded") {
            return false;
        }
        const { retryAfterMs } = admission;
        this.logDecision(jobId, queue.name, "refused", "too many requests to the advice service are owed", {
            ...backlog,
            retryAfterMs,
        });
        reply({ kind: "refused", reason: RefusalReason.adviceBacklog, retryAfterMs });
        return true;
    }

    private decideAdmission({ priority }: QueueConfig): Admission {
        return decideAdmission({
            latenessMs: this.context.lateness.getMeanLatenessMs(),
            priority,
            priorities: this.context.getConfig().queues.map(queue => queue.priority),
            draw: this.random.pickFraction(),
        });
    }

    private show(jobId: string, account: string | undefined, reply: Reply): void {
        const job = this.context.jobs.get(jobId);
        if (job === undefined || !mayAccessJob(account, job.account)) {
            void this.replyNoJob(reply);
            return;
        }
        reply({ kind: "state", phase: getShownPhase(job) });
    }

    private cancel(jobId: string, account: string | undefined, reply: Reply): void {
        const job = this.context.jobs.get(jobId);
        if (job === undefined || !mayAccessJob(account, job.account)) {
            void this.replyNoJob(reply);
            return;
        }
        if (job.endedAt !== 0) {
            this.context.runWhenCommitted(() => reply({ kind: "cancelled" }));
            return;
        }
        if (this.journal.isStalled()) {
            reply(buildStoreUnavailable());
            return;
        }
        // No more tasks of the job start from here on. Its runs continue until the cancellation is durable:
        // if this leader is lost before that, the job is not cancelled and must not have lost its work.
        const steps = [...listSteps(job)];
        const at = this.context.clock.wallNow();
        this.context.record({ type: "cancelled", jobId, at }, () => {
            job.isEndDurable = true;
            this.ends.stopSteps(steps);
            this.logDecision(jobId, job.queue, "cancelled", "durable");
            reply({ kind: "cancelled" });
        });
    }

    /**
     * Checks the leadership first: another leader may have accepted the job while this process was suspended.
     */
    private async replyNoJob(reply: Reply): Promise<void> {
        const isLeading = await this.context.confirmLeading();
        reply(isLeading ? { kind: "noJob" } : { kind: "unknown", message: "the leader may have changed" });
    }

    private finishWaiting(jobId: string, answer: CallerReply): void {
        const waiting = this.waiting.get(jobId) ?? [];
        this.waiting.delete(jobId);
        waiting.forEach(reply => reply(answer));
    }

    private logDecision(
        jobId: string,
        queue: string,
        outcome: string,
        reason: string,
        inputs: Readonly<Record<string, LogValue>> = {},
    ): void {
        this.context.metrics.count("jobs.decided", 1, { outcome });
        this.context.log.info("jobDecided", {
            jobId,
            queue,
            outcome,
            reason,
            configVersion: this.context.getConfig().version,
            epoch: this.context.epoch,
            openJobs: this.context.jobs.countOpen(),
            ...inputs,
        });
    }
}

/** Shows an end only once it is durable, so that no later leader can contradict it. */
function getShownPhase(job: Job): JobPhase {
    return job.endedAt !== 0 && !job.isEndDurable ? JobPhase.running : job.phase;
}

function buildStoreUnavailable(): CallerReply {
    return { kind: "refused", reason: RefusalReason.storeAway, retryAfterMs: STORE_UNAVAILABLE_RETRY_MS };
}
