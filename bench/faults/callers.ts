/** Callers of a run behind a balancer that knows which entries are ready: visitors, corrections and jobs. */
import { Agent, request } from "undici";
import type { Random } from "../../src/common/random.js";

const VISITS_PER_SECOND = 300;
const CORRECTIONS_PER_SECOND = 20;
const JOBS_PER_SECOND = 2;
export const TASKS_PER_JOB = 5;
const TICK_MS = 50;
const READY_POLL_MS = 200;
const DEADLINE_MS = 5_000;
const CORRECTION_TRIES = 30;
const CORRECTION_PAUSE_MS = 300;
export const SERVICE_BRANCH = "services/catalogue";
export const BATCH_BRANCH = "batch";

/** What a caller was told in the end. */
export interface Told {
    /** Begins the request id of each try. */
    readonly key: string;
    readonly kind: "visit" | "correction";
    /** `done`, `wrongAnswer`, `no`, `unknown`, `yes`, or `broken` when the connection ended without an answer. */
    readonly end: string;
    readonly at: number;
    readonly tookMs: number;
    /** Entry that was asked last. */
    readonly entry: string;
}

/** A job that was accepted. */
export interface AcceptedJob {
    readonly jobId: string;
    readonly repeatable: boolean;
}

interface Reply {
    readonly status: number;
    readonly text: string;
}

/** All callers, and what they were told. */
export class BenchCallers {
    readonly told: Told[] = [];
    readonly jobs: AcceptedJob[] = [];
    jobsRefused = 0;
    private readonly agent = new Agent({ connections: 64, pipelining: 1 });
    private ready: string[] = [];
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly underWay = new Set<Promise<void>>();
    private nextId = 0;

    constructor(
        private readonly random: Random,
        private readonly token: string,
        private readonly listEntries: () => readonly string[],
    ) {}

    /** Starts the balancer's readiness checks and waits until some entry is ready. */
    async open(): Promise<void> {
        this.timers.push(setInterval(() => void this.pollReady(), READY_POLL_MS));
        while (this.ready.length === 0) {
            await pause(READY_POLL_MS);
        }
    }

    /** Starts the load. */
    start(): void {
        const share = TICK_MS / 1_000;
        this.timers.push(setInterval(() => {
            this.runTimes(VISITS_PER_SECOND * share, () => this.sendVisit());
            this.runTimes(CORRECTIONS_PER_SECOND * share, () => this.sendCorrection());
            this.runTimes(JOBS_PER_SECOND * share, () => this.submitJob());
        }, TICK_MS));
    }

    /** Stops the load and waits for what is under way. */
    async stop(): Promise<void> {
        this.timers.splice(1).forEach(timer => clearInterval(timer));
        await Promise.all([...this.underWay]);
    }

    async close(): Promise<void> {
        this.timers.forEach(timer => clearInterval(timer));
        await this.agent.destroy();
    }

    /** Sends a request to a ready entry. */
    async send(
        method: "GET" | "POST",
        path: string,
        body?: string,
        headers: Record<string, string> = {},
    ): Promise<Reply> {
        const entry = this.pickEntry();
        return await this.sendTo(entry, method, path, body, headers);
    }

    private async sendTo(
        entry: string,
        method: "GET" | "POST",
        path: string,
        body?: string,
        headers: Record<string, string> = {},
    ): Promise<Reply> {
        const response = await request(`${entry}${path}`, {
            method,
            body,
            dispatcher: this.agent,
            headersTimeout: DEADLINE_MS * 4,
            headers: {
                authorization: `Bearer ${this.token}`,
                "content-type": "application/json",
                ...headers,
            },
        });
        return { status: response.statusCode, text: await response.body.text() };
    }

    private async pollReady(): Promise<void> {
        const entries = this.listEntries();
        const checks = await Promise.all(entries.map(async entry => {
            try {
                const response = await request(`${entry}/readyz`, {
                    dispatcher: this.agent,
                    headersTimeout: READY_POLL_MS * 2,
                });
                await response.body.dump();
                return response.statusCode === 200;
            }
            catch {
                return false;
            }
        }));
        this.ready = entries.filter((...[, index]) => checks[index] === true);
    }

    private pickEntry(): string {
        return this.ready[this.random.pickInt(Math.max(1, this.ready.length))] ?? this.listEntries()[0] ?? "";
    }

    private runTimes(mean: number, act: () => Promise<void>): void {
        const count = Math.floor(mean) + (this.random.pickFraction() < mean % 1 ? 1 : 0);
        for (let index = 0; index < count; index++) {
            const running = act().finally(() => this.underWay.delete(running));
            this.underWay.add(running);
        }
    }

    private async sendVisit(): Promise<void> {
        const key = `visit-${this.nextId++}`;
        await this.tryOnce("visit", key, key, { "x-repeatable": "true" }, performance.now());
    }

    /** A correction is repeated with its key until it is answered, as callers are told to. */
    private async sendCorrection(): Promise<void> {
        const key = `correction-${this.nextId++}-`;
        const begin = performance.now();
        for (let tries = 1; tries <= CORRECTION_TRIES; tries++) {
            const headers = { "x-repeatable": "false", "idempotency-key": key };
            const end = await this.tryOnce(
                "correction",
                key,
                `${key}${tries}`,
                headers,
                begin,
                tries === CORRECTION_TRIES,
            );
            if (end === "done" || end === "wrongAnswer" || end === "yes") {
                return;
            }
            await pause(CORRECTION_PAUSE_MS);
        }
    }

    private async tryOnce(
        kind: Told["kind"],
        key: string,
        requestId: string,
        headers: Record<string, string>,
        begin: number,
        isLast = true,
    ): Promise<string> {
        const entry = this.pickEntry();
        const body = JSON.stringify({ serviceMs: 50, answer: key });
        let end: string;
        try {
            const reply = await this.sendTo(entry, "POST", `/v1/services/${SERVICE_BRANCH}`, body, {
                ...headers,
                "x-request-id": requestId,
                "x-deadline-ms": String(DEADLINE_MS),
            });
            end = describeReply(reply, key);
        }
        catch {
            end = "broken";
        }
        if (isLast || end === "done" || end === "wrongAnswer") {
            const at = performance.now();
            this.told.push({ key, kind, end, at, tookMs: at - begin, entry });
        }
        return end;
    }

    private async submitJob(): Promise<void> {
        const key = `job-${this.nextId++}`;
        const repeatable = this.random.pickInt(2) === 0;
        const body = JSON.stringify({
            kind: "batch",
            branch: BATCH_BRANCH,
            tasks: TASKS_PER_JOB,
            resources: { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 },
            estimateMs: 300,
            urgent: false,
            repeatable,
            payload: JSON.stringify({ runMs: 300 }),
        });
        for (let tries = 0; tries < CORRECTION_TRIES; tries++) {
            const reply = await this.send("POST", "/v1/jobs", body, { "idempotency-key": key }).catch(() =>
                undefined
            );
            if (reply?.status === 202 || reply?.status === 200) {
                const { jobId } = JSON.parse(reply.text) as { readonly jobId: string; };
                this.jobs.push({ jobId, repeatable });
                return;
            }
            await pause(CORRECTION_PAUSE_MS);
        }
        this.jobsRefused++;
    }
}

function describeReply(reply: Reply, expected: string): string {
    if (reply.status === 200) {
        return reply.text === expected ? "done" : "wrongAnswer";
    }
    const { ran } = JSON.parse(reply.text) as { readonly ran?: string; };
    return ran ?? `status ${reply.status}`;
}

/** Waits in real time: the processes under test are real. */
export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });
}
