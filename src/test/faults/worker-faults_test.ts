/** Workers that die, fail, restart or leave; jobs that can't succeed; cancellations; idempotency keys. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Branch, WORKER_CAPACITY } from "./cell.js";
import type { SubmittedJob } from "./evidence.js";
import { findPlacer, getTaskCounts, runLoad, runScenario, runScenarioOnBothKinds } from "./scenarios.js";

describe("a worker", () => {
    it("dies while a gang starts", async () => {
        // Guards against a gang that starts in part: capacity for all its tasks is reserved and their starts
        // are in flight when one worker is lost with its VM. The gang may start later, but as a whole.
        for (const offset of [2, 6, 12, 60]) {
            const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
                const submit = scenarioCallers.submit({
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
            assert.deepEqual(callers.jobs.map(getTaskCounts), [{ done: 8 }]);
        }
    });

    it("is unreachable while its tasks run on", async () => {
        // Guards against a task that runs in two places: behind a broken switch port, all entries lose two
        // workers whose tasks run on. They must wait until the lease has surely ended before they start the
        // tasks elsewhere.
        await runScenarioOnBothKinds(async ({ cell, callers }) => {
            const submit = callers.submit({ kind: "batch", tasks: 8, runMs: 9_000, repeatable: true });
            await cell.clock.wait(submit, 10_000);
            await cell.clock.step(1_000);
            cell.cutWorkerFromAll("w0", 25_000);
            cell.cutWorkerFromAll("w2", 25_000);
            await cell.clock.step(25_000);
        });
    });

    it("restarts and loses its state", async () => {
        // Guards against lost or wrongly repeated tasks when a VM restarts within its lease and its worker has
        // lost its state: repeatable tasks run again, others end as "may have run".
        for (const repeatable of [true, false]) {
            const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
                await cell.clock.wait(
                    scenarioCallers.submit({ kind: "batch", tasks: 8, runMs: 4_000, repeatable }),
                    10_000,
                );
                await cell.clock.step(500);
                cell.listWorkerIds().forEach(id => cell.killWorker(id, 300));
            });
            assert.deepEqual(callers.jobs.map(getTaskCounts), [repeatable ? { done: 8 } : { mayHaveRun: 8 }]);
        }
    });

    it("fails everything, and the others do the work", async () => {
        // Guards against a broken VM that attracts work because it fails everything at once: its worker must be
        // ejected, probed and readmitted once it works.
        const { callers, cell } = await runScenario(
            async ({ cell: scenarioCell, callers: scenarioCallers }) => {
                scenarioCell.getWorkerModel("w1").setFailing(true);
                await scenarioCell.clock.wait(
                    runLoad({ cell: scenarioCell, callers: scenarioCallers }, 30_000, 100),
                    40_000,
                );
                scenarioCell.getWorkerModel("w1").setFailing(false);
            },
        );
        const failed = callers.requests.filter(request =>
            request.repeatable && request.outcome?.kind === "failed"
        );
        const visitors = callers.requests.filter(request => request.repeatable);
        assert(
            failed.length <= visitors.length * 0.02,
            `${failed.length} of ${visitors.length} visitors failed`,
        );
        const onBroken = cell.journal.runs.filter(run => run.workerId === "w1" && run.startedAt > 12_000);
        assert(
            onBroken.length < 40,
            `${onBroken.length} runs on the broken worker after its ejection was due`,
        );
    });

    it("leaves, and only the VM list reports it, 30 s late", async () => {
        // Guards against new work on a leaving VM when the VM list lags by 30 s and the worker never reports it
        // itself. The worker must get nothing new from 2 s after the list shows it.
        await runScenario(async ({ cell, callers }) => {
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
            // Guards against lost or duplicate work when a power failure takes all VMs of a rack or a failure
            // domain at once under load. Some tasks may start again.
            await runScenarioOnBothKinds(async ({ cell, callers }) => {
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
    it("that fail on every worker end as failed and cause no mass ejection", async () => {
        // Guards against healthy workers ejected because of a task whose own program fails wherever it runs.
        const { callers, cell } = await runScenario(
            async ({ cell: scenarioCell, callers: scenarioCallers }) => {
                const failing = scenarioCallers.submit({
                    kind: "batch",
                    tasks: 12,
                    runMs: 50,
                    repeatable: true,
                    fails: true,
                });
                await scenarioCell.clock.wait(failing, 20_000);
                await scenarioCell.clock.step(3_000);
            },
        );
        assert.deepEqual(callers.jobs.map(getTaskCounts), [{ failed: 12 }]);
        const open = cell.listUp().flatMap(member => member.entry.operators.getStatus().workers);
        assert(open.filter(worker => worker.state === "ejected").length <= 1);
    });

    it("that can never fit are reported as such with their acceptance", async () => {
        // Guards against a job that waits with no explanation because its task demands more than any worker
        // has. It is accepted with the reason and the largest worker, and waits for a larger fleet or its
        // cancellation.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            const cpuMillis = WORKER_CAPACITY.cpuMillis + 1;
            const submit = scenarioCallers.submit(
                { kind: "batch", tasks: 1, runMs: 50, repeatable: true, cpuMillis },
                1,
            );
            const job = await cell.clock.wait(submit, 20_000);
            await cell.clock.step(2_000);
            await cell.clock.wait(scenarioCallers.cancel(job), 10_000);
        });
        const [reply] = callers.jobs[0]?.submits ?? [];
        assert.match(JSON.stringify(reply), /it can never fit: it needs 4001m processors/);
    });
});

describe("cancellations", () => {
    it("arrive before, during and after the start", async () => {
        // Guards against a wrong outcome, or a wrong report on whether the job had started, when the
        // cancellation arrives at any step between acceptance and end.
        for (const offset of [0, 2, 5, 8, 12, 20, 60, 300, 600]) {
            for (const repeatable of [true, false]) {
                await runScenario(async ({ cell, callers }) => {
                    const submit = callers.submit({ kind: "batch", tasks: 3, runMs: 500, repeatable });
                    await cell.clock.step(offset);
                    const job = callers.jobs[0] ?? assert.fail("no job");
                    await cell.clock.wait(Promise.all([submit, callers.cancel(job)]), 30_000);
                });
            }
        }
    });

    it("come in a wave while slices are taken over", async () => {
        // Guards against jobs that survive their cancellation, and against failing service requests: forty jobs
        // wait or run, an entry is lost with its VM, and all jobs are cancelled while its slices move.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            const jobs: Promise<SubmittedJob>[] = [];
            for (let index = 0; index < 40; index++) {
                jobs.push(
                    scenarioCallers.submit({
                        kind: "batch",
                        tasks: 5,
                        runMs: 20_000,
                        repeatable: index % 2 === 0,
                    }),
                );
            }
            await cell.clock.wait(Promise.all(jobs), 30_000);
            cell.killEntry(findPlacer(cell, "w2").identity.index);
            const wave = Promise.all(scenarioCallers.jobs.map(job => scenarioCallers.cancel(job)));
            // Waits until the dead entry is known to be dead: a request sent to it earlier may be lost with it.
            await cell.clock.step(3_000);
            const visitor = scenarioCallers.sendRequest(cell.listUp()[0] ?? assert.fail("no entry"), {
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
        // Guards against a second run when the same key reaches two entries in the same millisecond, as after a
        // double click.
        const { callers, cell } = await runScenario(
            async ({ cell: scenarioCell, callers: scenarioCallers }) => {
                const both = [0, 2].map(index =>
                    scenarioCallers.sendRequest(scenarioCell.getMember(index), {
                        repeatable: false,
                        key: "same",
                        serviceMs: 80,
                    })
                );
                await scenarioCell.clock.wait(Promise.all(both), 10_000);
            },
        );
        assert.deepEqual(callers.requests.map(request => request.outcome?.kind), ["done", "done"]);
        assert.equal(cell.journal.runs.filter(run => run.label === Branch.service).length, 1);
    });
});
