/** End-to-end tests over fakes: a caller's request to a worker and back, for each kind of work. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HomeReply } from "../../connection/messages.js";
import type { Caller, JobSpec } from "../../request/work.js";
import { FakeCell, type FakeMember } from "../fakes/fake-cell.js";

const CALLER: Caller = { callerId: "council", team: "verona" };
const DEADLINE_MS = 30_000;

const BATCH: JobSpec = {
    kind: "batch",
    branch: "batch",
    tasks: 6,
    resources: { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 },
    estimateMs: 500,
    urgent: false,
    repeatable: true,
    payload: JSON.stringify({ runMs: 500, answer: "built" }),
};

function submit(cell: FakeCell, member: FakeMember, spec: JobSpec): Promise<HomeReply> {
    const jobId = member.entry.callers.makeJobId(CALLER, spec);
    return cell.clock.wait(
        member.entry.callers.callHome(jobId, { kind: "submitJob", jobId, caller: CALLER, spec }, DEADLINE_MS),
        DEADLINE_MS * 2,
    );
}

describe("end to end", () => {
    it("answers a service request from any entry", async () => {
        const cell = new FakeCell();
        await cell.start();
        for (const member of cell.members) {
            const result = await cell.clock.wait(
                member.entry.callers.runService({
                    requestId: `request-${member.memberId}`,
                    caller: CALLER,
                    branch: "services/catalogue",
                    body: new TextEncoder().encode(JSON.stringify({ serviceMs: 5, answer: "open at ten" })),
                    contentType: "application/json",
                    repeatable: true,
                    deadline: cell.clock.now() + 2_000,
                }),
                5_000,
            );
            assert.equal(result.outcome.kind, "done", JSON.stringify(result));
            assert.equal(
                result.outcome.kind === "done" && new TextDecoder().decode(result.outcome.answer),
                "open at ten",
            );
        }
    });

    it("runs a non-repeatable request once and answers its repetition with the first outcome", async () => {
        const cell = new FakeCell();
        await cell.start();
        const run = (member: FakeMember) =>
            cell.clock.wait(
                member.entry.callers.runService({
                    requestId: `correction-${member.memberId}`,
                    caller: CALLER,
                    branch: "services/catalogue",
                    body: new TextEncoder().encode(JSON.stringify({ serviceMs: 5, answer: "corrected" })),
                    contentType: "application/json",
                    repeatable: false,
                    idempotencyKey: "correction-7",
                    deadline: cell.clock.now() + 5_000,
                }),
                10_000,
            );
        const [first, second] = cell.members;
        assert.ok(first !== undefined && second !== undefined);
        const results = [await run(first), await run(second)];
        assert.deepEqual(
            results.map(result => result.outcome.kind),
            ["done", "done"],
            JSON.stringify(results),
        );
        assert.deepEqual(results.map(result => result.repeated), [false, true]);
        assert.equal(cell.journal.runs.filter(each => each.kind === "service").length, 1);
    });

    const jobs: readonly { readonly name: string; readonly spec: JobSpec; }[] = [
        { name: "batch", spec: BATCH },
        { name: "gang", spec: { ...BATCH, kind: "gang", branch: "gangs", tasks: 8 } },
        { name: "short run", spec: { ...BATCH, kind: "short", branch: "short", tasks: 1 } },
        { name: "non-repeatable batch", spec: { ...BATCH, repeatable: false } },
        { name: "urgent batch", spec: { ...BATCH, urgent: true } },
    ];
    for (const { name, spec } of jobs) {
        it(`runs a ${name} job to its end, each task once`, async () => {
            const cell = new FakeCell();
            await cell.start();
            const member = cell.requireMember();
            const reply = await submit(cell, member, spec);
            assert.equal(reply.kind, "job", JSON.stringify(reply));
            const jobId = reply.kind === "job" ? reply.job.jobId : "";
            const ended = await cell.clock.wait(
                member.entry.callers.callHome(jobId, {
                    kind: "waitJob",
                    jobId,
                    team: "verona",
                    waitMs: 20_000,
                }, 25_000),
                60_000,
            );
            assert.equal(ended.kind === "job" && ended.job.state, "ended", JSON.stringify(ended));
            assert.equal(ended.kind === "job" && ended.job.counts.done, spec.tasks, JSON.stringify(ended));
            const runs = cell.journal.runs.filter(run => run.kind === "task");
            assert.equal(runs.length, spec.tasks);
        });
    }
});
