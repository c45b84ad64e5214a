/** Without faults, a cell places and answers every kind of work. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Callers } from "./callers.js";
import { Cell } from "./cell.js";
import { checkGuarantees } from "./checker.js";

describe("a cell without faults", () => {
    for (const comparesEpochs of [true, false]) {
        it(`serves every kind of work on workers that ${comparesEpochs ? "compare epochs" : "know leases only"}`, async () => {
            const cell = new Cell({ seed: 1, entries: 4, workers: 6, comparesEpochs });
            await cell.open();
            const callers = new Callers(cell);
            const member = cell.getMember(0);
            const work = Promise.all([
                callers.sendRequest(member, { repeatable: true }),
                callers.sendRequest(member, { repeatable: false }),
                callers.sendRequest(member, { repeatable: true, key: "k" }),
                callers.submit({ kind: "batch", tasks: 3, runMs: 200, repeatable: true }),
                callers.submit({ kind: "gang", tasks: 4, runMs: 300, repeatable: true }),
                callers.submit({ kind: "short", tasks: 1, runMs: 100, repeatable: false }),
                callers.edit(member, 77),
            ]);
            await cell.clock.wait(work, 20_000);
            await cell.clock.step(8_000);
            await cell.clock.wait(callers.refresh(), 10_000);
            const evidence = { ...cell.collectEvidence(), ...callers };
            assert.deepEqual(checkGuarantees(evidence), []);
            assert.deepEqual(callers.requests.map(request => request.outcome?.kind), [
                "done",
                "done",
                "done",
            ]);
            assert.deepEqual(callers.jobs.map(job => job.view?.counts.done), [3, 4, 1]);
            assert.deepEqual(callers.replies.map(reply => reply.kind), ["accepted"]);
        });
    }
});
