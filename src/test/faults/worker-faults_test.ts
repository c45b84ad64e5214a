/** Stories of workers that die, fail, forget or leave, and of waves of cancellations. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Branch, WORKER_CAPACITY } from "./cell.js";
import type { AskedJob } from "./evidence.js";
import { findPlacer, getCounts, runLoad, runStory, runStoryOnBoth } from "./stories.js";

describe("a worker", () => {
    it("dies while a gang starts", async () => {
        // An engineer sees: a reach study that starts a little later, all tasks together. Order: room for all is held, the
        // starts are on their way, one worker dies. Cause: a lost VM.
        for (const offset of [2, 6, 12, 60]) {
            const { callers } = await runStory(async ({ cell, callers: asking }) => {
                const submit = asking.submit({
                    kind: "gang",
                    tasks: 8,
                    runMs: 1_500,
                    repeatable: true,
                    cpuMillis: 2_000,
                });
                await cell.clock.step(offset);
                cell.killWorker("w0");
                await cell.clock.wait(submit, 20_000);
            });
            assert.deepEqual(callers.jobs.map(getCounts), [{ done: 8 }]);
        }
    });

    it("cannot be reached and goes on running", async () => {
        // An engineer sees: a task that takes longer. Order: all entries lose a worker whose tasks run on; they wait until
        // its lease has surely ended before they start the tasks elsewhere. Cause: a broken switch port.
        await runStoryOnBoth(async ({ cell, callers }) => {
            const submit = callers.submit({ kind: "batch", tasks: 8, runMs: 9_000, repeatable: true });
            await cell.clock.wait(submit, 10_000);
            await cell.clock.step(1_000);
            cell.cutWorkerFromAll("w0", 25_000);
            cell.cutWorkerFromAll("w2", 25_000);
            await cell.clock.step(25_000);
        });
    });

    it("restarts and forgets", async () => {
        // An engineer sees: a repeatable task run again, a paid one reported as "may have run". Order: tasks run, the
        // worker reboots within its lease and knows nothing. Cause: a VM restart.
        for (const repeatable of [true, false]) {
            const { callers } = await runStory(async ({ cell, callers: asking }) => {
                await cell.clock.wait(
                    asking.submit({ kind: "batch", tasks: 8, runMs: 4_000, repeatable }),
                    10_000,
                );
                await cell.clock.step(500);
                cell.listWorkerIds().forEach(id => cell.killWorker(id, 300));
            });
            assert.deepEqual(callers.jobs.map(getCounts), [repeatable ? { done: 8 } : { mayHaveRun: 8 }]);
        }
    });

    it("fails everything, and the others do the work", async () => {
        // Visitors see: answers, after a few failures. Order: one worker fails all it gets; it is ejected, tried again and
        // readmitted once it works. Cause: a broken VM.
        const { callers, cell } = await runStory(async ({ cell: running, callers: asking }) => {
            running.getWorkerModel("w1").setFailing(true);
            await running.clock.wait(runLoad({ cell: running, callers: asking }, 30_000, 100), 40_000);
            running.getWorkerModel("w1").setFailing(false);
        });
        const failed = callers.requests.filter(request =>
            request.repeatable && request.outcome?.kind === "failed"
        );
        const visitors = callers.requests.filter(request => request.repeatable);
        assert(
            failed.length <= visitors.length * 0.02,
            `${failed.length} of ${visitors.length} visitors failed`,
        );
        const onBroken = cell.journal.runs.filter(run => run.workerId === "w1" && run.startedAt > 12_000);
        assert(onBroken.length < 40, `${onBroken.length} runs on the broken worker after it was found out`);
    });

    it("leaves, and the VM list says so alone, 30 s late", async () => {
        // A council sees: nothing. Order: a VM is marked as leaving, the list shows it 30 s later, the worker never says so
        // itself. Within 2 s of the list it gets nothing new. Cause: a lagging list.
        await runStory(async ({ cell, callers }) => {
            cell.vmList.lagMs = 30_000;
            cell.leaveWorker("w0");
            cell.leaveWorker("w3");
            await cell.clock.wait(runLoad({ cell, callers }, 40_000, 100), 50_000);
        });
    });

    for (
        const { name, workers, entries } of [
            { name: "its rack", workers: ["w0", "w1"], entries: [] },
            { name: "its failure domain with an entry", workers: ["w0", "w1"], entries: [0] },
        ]
    ) {
        it(`is lost with ${name}`, async () => {
            // Engineers see: some tasks start again. Order: under load all VMs of a rack or domain die at once. Cause: power.
            await runStoryOnBoth(async ({ cell, callers }) => {
                const load = runLoad({ cell, callers }, 8_000, 150);
                await cell.clock.step(3_000);
                workers.forEach(id => cell.killWorker(id));
                entries.forEach(index => cell.killEntry(index));
                await cell.clock.wait(load, 20_000);
            });
        });
    }
});

describe("jobs", () => {
    it("that fail on every worker end as failed and eject nobody", async () => {
        // A designer sees: failed. Order: a task's own program fails wherever it runs. Cause: its program.
        const { callers, cell } = await runStory(async ({ cell: running, callers: asking }) => {
            const failing = asking.submit({
                kind: "batch",
                tasks: 12,
                runMs: 50,
                repeatable: true,
                fails: true,
            });
            await running.clock.wait(failing, 20_000);
            await running.clock.step(3_000);
        });
        assert.deepEqual(callers.jobs.map(getCounts), [{ failed: 12 }]);
        const open = cell.listUp().flatMap(member => member.entry.operators.getStatus().workers);
        assert(open.filter(worker => worker.state === "ejected").length <= 1);
    });

    it("that can never fit are told so with their acceptance", async () => {
        // An engineer sees: accepted, and that it can never fit, with the largest worker. Order: a task asks for more than any
        // worker has; it waits for a larger fleet or its cancellation. Cause: a wrong size.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            const cpuMillis = WORKER_CAPACITY.cpuMillis + 1;
            const submit = asking.submit(
                { kind: "batch", tasks: 1, runMs: 50, repeatable: true, cpuMillis },
                1,
            );
            const job = await cell.clock.wait(submit, 20_000);
            await cell.clock.step(2_000);
            await cell.clock.wait(asking.cancel(job), 10_000);
        });
        const [reply] = callers.jobs[0]?.submits ?? [];
        assert.match(JSON.stringify(reply), /it can never fit: it needs 4001m processors/);
    });
});

describe("cancellations", () => {
    it("arrive before, during and after the start", async () => {
        // A client sees: "cancelled", and whether it had started. Order: the cancellation meets the job at each step from
        // acceptance to end. Cause: a client changes its mind.
        for (const offset of [0, 2, 5, 8, 12, 20, 60, 300, 600]) {
            for (const repeatable of [true, false]) {
                await runStory(async ({ cell, callers }) => {
                    const submit = callers.submit({ kind: "batch", tasks: 3, runMs: 500, repeatable });
                    await cell.clock.step(offset);
                    const job = callers.jobs[0] ?? assert.fail("no job");
                    await cell.clock.wait(Promise.all([submit, callers.cancel(job)]), 30_000);
                });
            }
        }
    });

    it("come in a wave while slices are taken over", async () => {
        // A council sees: its whole season withdrawn; visitors see nothing of it. Order: forty jobs wait and run, an entry
        // dies, all jobs are cancelled while its slices move. Cause: a withdrawn season and a lost VM.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            const jobs: Promise<AskedJob>[] = [];
            for (let index = 0; index < 40; index++) {
                jobs.push(
                    asking.submit({ kind: "batch", tasks: 5, runMs: 20_000, repeatable: index % 2 === 0 }),
                );
            }
            await cell.clock.wait(Promise.all(jobs), 30_000);
            cell.killEntry(findPlacer(cell, "w2").place.index);
            const wave = Promise.all(asking.jobs.map(job => asking.cancel(job)));
            // From when the dead entry is known as such: a request handed to it before may be lost with it.
            await cell.clock.step(3_000);
            const visitor = asking.sendRequest(cell.listUp()[0] ?? assert.fail("no entry"), {
                repeatable: true,
            });
            await cell.clock.wait(Promise.all([wave, visitor]), 60_000);
        });
        assert.equal(callers.requests[0]?.outcome?.kind, "done");
        assert(callers.jobs.every(job => job.view?.counts.waiting === 0 && job.view.counts.running === 0));
    });
});

describe("one key", () => {
    it("at two entries at once runs once and gets one outcome", async () => {
        // A volunteer sees: one correction, though two browsers sent it. Order: the same key reaches two entries in the same
        // millisecond. Cause: a double click.
        const { callers, cell } = await runStory(async ({ cell: running, callers: asking }) => {
            const both = [0, 2].map(index =>
                asking.sendRequest(running.getMember(index), {
                    repeatable: false,
                    key: "same",
                    serviceMs: 80,
                })
            );
            await running.clock.wait(Promise.all(both), 10_000);
        });
        assert.deepEqual(callers.requests.map(request => request.outcome?.kind), ["done", "done"]);
        assert.equal(cell.journal.runs.filter(run => run.label === Branch.service).length, 1);
    });
});
