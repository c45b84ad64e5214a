/** Callers that hand jobs in, ask for them and cancel some, over connections that they keep while the node lives. */
import { sleep, systemClock } from "../../src/common/clock.js";
import type { Random } from "../../src/common/random.js";
import { isFinal } from "./checker.js";
import type { ShownState, SoakChecker } from "./checker.js";
import type { JobSource, SoakJob } from "./job-source.js";

/** One call of a caller; a rejected promise means that no answer came. */
export interface CallerWay {
    submit(address: string, job: SoakJob): Promise<"accepted" | "refused" | "unknown">;
    show(address: string, jobId: string): Promise<ShownState | undefined>;
    /** Whether it was acknowledged. */
    cancel(address: string, jobId: string): Promise<boolean>;
}

/** What callers are made from. */
export interface CallersOptions {
    readonly way: CallerWay;
    readonly jobs: JobSource;
    readonly checker: SoakChecker;
    readonly random: Random;
    /** Addresses of the nodes that take callers now. */
    readonly listAddresses: () => readonly string[];
}

/** Attempts to hand a job in before a caller that is refused gives up. */
const MAX_ATTEMPTS = 5;
const RETRY_MS = 250;
const PAUSE_SPREAD_MS = 150;
const LOOK_MS = 120;
const CANCEL_ONE_IN = 10;
/** Looks at one job before the caller turns to the next; what has not ended is looked at again at the end. */
const MAX_LOOKS = 30;
const SETTLE_LOOK_MS = 300;

/** A group of callers. */
export class SoakCallers {
    private stopped = false;
    private readonly loops: Promise<void>[] = [];
    /** Jobs that a caller may hold for accepted and whose end nobody has seen. */
    private readonly open = new Set<string>();

    constructor(private readonly options: CallersOptions) {}

    /** Starts some callers. */
    start(count: number): void {
        for (let number = 0; number < count; number++) {
            this.loops.push(this.runCaller());
        }
    }

    /** Lets all callers finish the job that they are at. */
    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.loops);
    }

    /**
     * Asks for all jobs that have not ended, again and again.
     * @param limitMs - When to give up.
     */
    async settle(limitMs: number): Promise<void> {
        const begin = systemClock.now();
        while (this.open.size > 0 && systemClock.now() - begin < limitMs) {
            await Promise.all([...this.open].map(jobId => this.checkJob(jobId)));
            await sleep(systemClock, SETTLE_LOOK_MS);
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
            for (let looks = 0; looks < MAX_LOOKS && this.open.has(job.id); looks++) {
                await sleep(systemClock, LOOK_MS);
                await this.checkJob(job.id);
            }
            await sleep(systemClock, random.pickInt(PAUSE_SPREAD_MS));
        }
    }

    private async submit(job: SoakJob): Promise<void> {
        const { way, checker } = this.options;
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const answer = await this.call(address => way.submit(address, job)) ?? "unknown";
            checker.observeSubmit(job.id, answer);
            if (answer === "accepted") {
                this.open.add(job.id);
                return;
            }
            await sleep(systemClock, RETRY_MS);
        }
    }

    private async checkJob(jobId: string): Promise<void> {
        const { way, checker } = this.options;
        const state = await this.call(address => way.show(address, jobId));
        if (state === undefined) {
            return;
        }
        checker.observeState(jobId, state);
        if (isFinal(state)) {
            this.open.delete(jobId);
        }
    }

    private async cancel(jobId: string): Promise<void> {
        const { way, checker } = this.options;
        checker.observeCancelSent(jobId);
        if (await this.call(address => way.cancel(address, jobId)) === true) {
            checker.observeCancelled(jobId);
        }
    }

    /** Calls any node; no answer is an answer that tells nothing. */
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
            // The node died or the connection broke: for the caller that is the same as silence.
            return undefined;
        }
    }
}
