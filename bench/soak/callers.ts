/** Simulated callers that submit jobs, poll their state and cancel some, over keep-alive connections to the nodes. */
import { sleep, systemClock } from "../../src/common/clock.js";
import type { Random } from "../../src/common/random.js";
import { isFinal } from "./checker.js";
import type { ShownState, SoakChecker } from "./checker.js";
import type { JobSource, SoakJob } from "./job-source.js";

/** Client for the caller API; a rejected promise means that no response arrived. */
export interface JobClient {
    submit(address: string, job: SoakJob): Promise<"accepted" | "refused" | "unknown">;
    show(address: string, jobId: string): Promise<ShownState | undefined>;
    /** Resolves to true if the node acknowledged the cancellation. */
    cancel(address: string, jobId: string): Promise<boolean>;
}

export interface CallersOptions {
    readonly client: JobClient;
    readonly jobs: JobSource;
    readonly checker: SoakChecker;
    readonly random: Random;
    /** Addresses of the nodes that accept callers at present. */
    readonly listAddresses: () => readonly string[];
}

/** Attempts to submit a job before the caller gives up. */
const MAX_ATTEMPTS = 5;
const RETRY_MS = 250;
const PAUSE_SPREAD_MS = 150;
const POLL_INTERVAL_MS = 120;
const CANCEL_ONE_IN = 10;
/** Polls of one job before the caller goes on to the next; `settle` polls jobs that have not ended by then. */
const MAX_POLLS = 30;
const SETTLE_POLL_INTERVAL_MS = 300;

/** A group of concurrent callers; each submits one job at a time and follows it. */
export class SoakCallers {
    private stopped = false;
    private readonly loops: Promise<void>[] = [];
    /** Accepted jobs for which no caller has seen a final state. */
    private readonly openJobs = new Set<string>();

    constructor(private readonly options: CallersOptions) {}

    /** Starts `count` callers in addition to those that run. */
    start(count: number): void {
        for (let number = 0; number < count; number++) {
            this.loops.push(this.runCaller());
        }
    }

    /** Stops the callers; resolves once each has finished its current job. */
    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.loops);
    }

    /**
     * Polls all open jobs until they have ended.
     * @param limitMs - Timeout in milliseconds, after which the remaining jobs stay open.
     */
    async settle(limitMs: number): Promise<void> {
        const begin = systemClock.now();
        while (this.openJobs.size > 0 && systemClock.now() - begin < limitMs) {
            await Promise.all([...this.openJobs].map(jobId => this.checkJob(jobId)));
            await sleep(systemClock, SETTLE_POLL_INTERVAL_MS);
        }
    }

    private async runCaller(): Promise<void> {
        const { jobs, random } = this.options;
        while (!this.stopped) {
            const job = jobs.makeJob();
            await this.submit(job);
            if (random.pickInt(CANCEL_ONE_IN) === 0) {
                await this.cancel(job.id);
            }
            for (let polls = 0; polls < MAX_POLLS && this.openJobs.has(job.id); polls++) {
                await sleep(systemClock, POLL_INTERVAL_MS);
                await this.checkJob(job.id);
            }
            await sleep(systemClock, random.pickInt(PAUSE_SPREAD_MS));
        }
    }

    private async submit(job: SoakJob): Promise<void> {
        const { client, checker } = this.options;
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const answer = await this.call(address => client.submit(address, job)) ?? "unknown";
            checker.observeSubmit(job.id, answer);
            if (answer === "accepted") {
                this.openJobs.add(job.id);
                return;
            }
            await sleep(systemClock, RETRY_MS);
        }
    }

    private async checkJob(jobId: string): Promise<void> {
        const { client, checker } = this.options;
        const state = await this.call(address => client.show(address, jobId));
        if (state === undefined) {
            return;
        }
        checker.observeState(jobId, state);
        if (isFinal(state)) {
            this.openJobs.delete(jobId);
        }
    }

    private async cancel(jobId: string): Promise<void> {
        const { client, checker } = this.options;
        checker.observeCancelSent(jobId);
        if (await this.call(address => client.cancel(address, jobId)) === true) {
            checker.observeCancelled(jobId);
        }
    }

    /** Sends a call to a random node; resolves to undefined if no response arrives. */
    private async call<Answer>(send: (address: string) => Promise<Answer>): Promise<Answer | undefined> {
        const addresses = this.options.listAddresses();
        const address = addresses[this.options.random.pickInt(Math.max(1, addresses.length))];
        if (address === undefined) {
            return undefined;
        }
        try {
            return await send(address);
        }
        catch {
            // To the caller, a dead node or a broken connection is the same as no response.
            return undefined;
        }
    }
}
