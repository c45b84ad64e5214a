/** The course of a job at the home, from acceptance to its durable end. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HomeCell, makeSubmit, requireJob, SLICE } from "./home-cell.js";

describe("jobs at the home", () => {
    it("are accepted, run, ended durably and acknowledged", async () => {
        const cell = new HomeCell();
        const entry = cell.addEntry("h1");
        await cell.openSliceAt(entry);
        cell.handleOrder = (placer, order) => {
            placer.startTask(order);
            cell.clock.schedule(
                20,
                () => placer.report(order, { state: "done", answer: "42", workerId: "w1" }),
            );
        };
        const accepted = await cell.query(entry, makeSubmit("j1", { tasks: 3 }));
        assert.equal(accepted.kind === "job" && accepted.created, true);
        const waited = await cell.query(entry, {
            kind: "waitJob",
            jobId: "j1",
            team: undefined,
            waitMs: 5_000,
        });
        const job = requireJob(waited);
        assert.equal(job.state, "ended");
        assert.equal(job.counts.done, 3);
        const outcome = job.tasks[0]?.outcome;
        assert.equal(outcome?.kind === "done" && new TextDecoder().decode(outcome.answer), "42");
        await cell.clock.step(200);
        assert.equal(cell.getPlacer().acknowledged.size, 3);
        assert.deepEqual(entry.home.listReady(), [SLICE]);
    });
});
