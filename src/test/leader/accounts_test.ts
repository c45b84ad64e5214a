/** Client accounts at a leader: who may see and cancel a job, and that quotas hold whoever leads. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import type { JobSpec } from "../../process/jobs/job-spec.js";
import type { CallerReply } from "../../process/leader/requests.js";
import type { AccountConfig } from "../../version/cluster-config.js";
import { CORE, HOST, LeaderCell, makeJobId, makeSpec, PREFIX } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ANSWER_MS: Millis = 4_000;
const RUN_MS: Millis = 2_000;
const QUOTA_TASKS = 3;

function makeAccount(name: string, tasks: number): AccountConfig {
    const quota: Resources = { cpuMillis: tasks * CORE.cpuMillis, memoryMib: 0, accelerators: 0 };
    return { name, keyDigests: [`${name}-key`], weight: 1, quota };
}

/** A cell with two accounts, `small` with a quota, that records how many tasks run at once. */
class AccountCell extends LeaderCell {
    readonly started: string[] = [];
    runCount = 0;
    peak = 0;

    constructor(workerCount: number, stopMs: Millis = 100) {
        super(0);
        for (let number = 1; number <= workerCount; number++) {
            this.addWorker(`w${number}`, `10.0.0.${number}:80`, {
                stopMs,
                handleStart: () => {
                    this.started.push(`w${number}`);
                    this.runCount += 1;
                    this.peak = Math.max(this.peak, this.runCount);
                },
                handleEnd: () => this.runCount -= 1,
            });
        }
        this.getBehavior = () => ({ demand: CORE, runMs: RUN_MS, end: "done" });
        this.setAccounts([makeAccount("small", QUOTA_TASKS), makeAccount("large", 0)]);
    }

    setAccounts(accounts: readonly AccountConfig[]): void {
        this.config = { ...this.config, version: this.config.version + 1, accounts };
    }

    request(
        { leader }: TestLeader,
        kind: "show" | "cancel",
        number: number,
        credential: string | undefined,
    ): Promise<CallerReply> {
        const path = `${PREFIX}${makeJobId(number)}`;
        return this.clock.wait(leader.serve({ kind, host: HOST, path, credential }), ANSWER_MS);
    }

    submitAs(
        { leader }: TestLeader,
        number: number,
        credential: string | undefined,
        spec: JobSpec,
    ): Promise<CallerReply> {
        const path = `${PREFIX}${makeJobId(number)}`;
        return this.clock.wait(
            leader.serve({ kind: "submit", host: HOST, path, credential, spec }),
            ANSWER_MS,
        );
    }

    async replaceLeader(leader: TestLeader): Promise<TestLeader> {
        leader.clock.kill();
        return this.startLeader();
    }

    /** The next leader does not hear from the worker on which the first tasks run. */
    async replaceLeaderBesideSilentWorker(leader: TestLeader): Promise<TestLeader> {
        const [start] = this.started;
        const next = await this.replaceLeader(leader);
        next.workers.getPath(start === "w1" ? "10.0.0.1:80" : "10.0.0.2:80").faults.unreachable = true;
        return next;
    }
}

describe("a job of a client account", () => {
    for (const hasNewLeader of [false, true]) {
        it(`is open to its account only${hasNewLeader ? ", also after a change of the leader" : ""}`, async () => {
            const cell = new AccountCell(1);
            let leader = await cell.startLeader();
            await cell.submitAs(leader, 1, "small-key", makeSpec({}));
            leader = hasNewLeader ? await cell.replaceLeader(leader) : leader;
            assert.equal((await cell.request(leader, "show", 1, "small-key")).kind, "state");
            assert.equal((await cell.request(leader, "show", 1, "large-key")).kind, "noJob");
            assert.equal((await cell.request(leader, "cancel", 1, "large-key")).kind, "noJob");
            assert.equal((await cell.submitAs(leader, 1, "large-key", makeSpec({}))).kind, "jobIdTaken");
            assert.equal((await cell.submitAs(leader, 1, "small-key", makeSpec({}))).kind, "accepted");
            assert.equal((await cell.request(leader, "cancel", 1, "small-key")).kind, "cancelled");
        });
    }

    const denied = [
        { name: "without a key", credential: undefined, expected: { kind: "unauthorized", reason: "noKey" } },
        {
            name: "with an unknown key",
            credential: "x",
            expected: { kind: "unauthorized", reason: "unknownKey" },
        },
    ];
    for (const { name, credential, expected } of denied) {
        it(`is not accepted ${name}`, async () => {
            const cell = new AccountCell(1);
            const leader = await cell.startLeader();
            assert.deepEqual(await cell.submitAs(leader, 1, credential, makeSpec({})), expected);
            await cell.clock.step(RUN_MS);
            assert.equal(cell.peak, 0);
        });
    }

    it("is refused while the configuration is not confirmed", async () => {
        const cell = new AccountCell(1);
        const leader = await cell.startLeader();
        cell.isConfigConfirmed = false;
        const reply = await cell.submitAs(leader, 1, "small-key", makeSpec({}));
        assert.equal(reply.kind === "refused" && reply.reason, "configUnconfirmed");
    });

    it("is refused at once if its gang can never fit into the quota", async () => {
        const cell = new AccountCell(2);
        const leader = await cell.startLeader();
        const gang = makeSpec({ isGang: true, taskCount: QUOTA_TASKS + 1 });
        const reply = await cell.submitAs(leader, 1, "small-key", gang);
        assert.equal(reply.kind === "refused" && reply.reason, "quotaTooSmall");
        assert.equal((await cell.submitAs(leader, 2, "large-key", gang)).kind, "accepted");
    });
});

describe("a quota", () => {
    it("lets a wider step run in waves", async () => {
        const cell = new AccountCell(2);
        const leader = await cell.startLeader();
        await cell.submitAs(leader, 1, "small-key", makeSpec({ taskCount: 8 }));
        await cell.clock.step(5 * RUN_MS);
        assert.equal(cell.peak, QUOTA_TASKS);
        assert.deepEqual(await cell.request(leader, "show", 1, "small-key"), {
            kind: "state",
            phase: "completed",
        });
    });

    it("does not hold up other accounts", async () => {
        const cell = new AccountCell(2);
        const leader = await cell.startLeader();
        await cell.submitAs(leader, 1, "small-key", makeSpec({ taskCount: 8 }));
        await cell.submitAs(leader, 2, "large-key", makeSpec({ taskCount: 5 }));
        await cell.clock.step(RUN_MS / 2);
        assert.equal(cell.runCount, QUOTA_TASKS + 5);
    });

    it("holds when it is lowered", async () => {
        const cell = new AccountCell(2);
        const leader = await cell.startLeader();
        await cell.submitAs(leader, 1, "small-key", makeSpec({ taskCount: 8 }));
        await cell.clock.step(RUN_MS / 2);
        cell.setAccounts([makeAccount("small", 1)]);
        leader.leader.handleConfig();
        await cell.clock.step(RUN_MS);
        cell.peak = 0;
        await cell.clock.step(3 * RUN_MS);
        assert.equal(cell.peak, 1);
    });

    it("counts what an earlier leader started", async () => {
        // Guards against a new leader that starts work before the workers have reported their runs.
        const cell = new AccountCell(2);
        const first = await cell.startLeader();
        await cell.submitAs(first, 1, "small-key", makeSpec({ taskCount: 8 }));
        await cell.clock.step(RUN_MS / 4);
        const next = await cell.replaceLeaderBesideSilentWorker(first);
        await cell.submitAs(next, 2, "small-key", makeSpec({ taskCount: 8 }));
        await cell.clock.step(10 * RUN_MS);
        assert.equal(cell.peak, QUOTA_TASKS);
    });

    it("counts the runs of a cancelled job until they have stopped, also under the next leader", async () => {
        // Guards against a new leader that does not know the runs of ended jobs.
        const cell = new AccountCell(2, RUN_MS);
        cell.getBehavior = () => ({ demand: CORE, runMs: 10 * RUN_MS, end: "done" });
        const first = await cell.startLeader();
        await cell.submitAs(first, 1, "small-key", makeSpec({ taskCount: QUOTA_TASKS }));
        await cell.clock.step(RUN_MS / 2);
        await cell.request(first, "cancel", 1, "small-key");
        const next = await cell.replaceLeaderBesideSilentWorker(first);
        await cell.submitAs(next, 2, "small-key", makeSpec({ taskCount: QUOTA_TASKS }));
        await cell.clock.step(9 * RUN_MS);
        assert.equal(cell.peak, QUOTA_TASKS);
        assert.equal(cell.runCount, QUOTA_TASKS);
    });

    it("counts a run whose order got no answer", async () => {
        // Guards against a lost answer after which the task is started a second time beside the first.
        const cell = new AccountCell(4);
        const leader = await cell.startLeader();
        for (let number = 1; number <= 4; number++) {
            leader.workers.getPath(`10.0.0.${number}:80`).faults.dropAnswerShare = 0.5;
        }
        await cell.submitAs(leader, 1, "small-key", makeSpec({ taskCount: 8 }));
        await cell.clock.step(10 * RUN_MS);
        assert.ok(cell.peak > 0 && cell.peak <= QUOTA_TASKS);
    });
});
