/** Tests run times predicted from estimates of any quality. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../common/random.js";
import { RunTimeModel } from "../../process/dispatch/run-time-model.js";

const SAMPLES = 400;
const MEAN_MS = 3_000;

/** Returns an approximately normal deviate. */
function pickDeviate(random: ReturnType<typeof createRandom>): number {
    return Array.from({ length: 12 }, () => random.pickFraction()).reduce((sum, value) => sum + value, -6);
}

/** Records run times of spread 0.5 with estimates that are off by a factor of spread `noise`. */
function observeSamples(noise: number): RunTimeModel {
    const random = createRandom(9);
    const model = new RunTimeModel();
    for (let sample = 0; sample < SAMPLES; sample++) {
        const took = MEAN_MS * Math.exp(0.5 * pickDeviate(random));
        model.observe("q", took * Math.exp(noise * pickDeviate(random)), took);
    }
    return model;
}

describe("RunTimeModel", () => {
    it("uses the estimate until it has enough samples", () => {
        assert.equal(new RunTimeModel().estimate("q", 700), 700);
    });

    it("follows good estimates", () => {
        const model = observeSamples(0.05);
        assert.ok(Math.abs(model.estimate("q", 9_000) / 9_000 - 1) < 0.1);
        assert.ok(Math.abs(model.estimate("q", 1_000) / 1_000 - 1) < 0.1);
    });

    it("expects the usual run time where estimates say little", () => {
        // An estimate of a fifth of the usual run time made a job seem late after a third of its time.
        const model = observeSamples(2);
        assert.ok(model.estimate("q", MEAN_MS / 5) > MEAN_MS * 0.7);
        assert.ok(model.estimate("q", MEAN_MS * 5) < MEAN_MS * 1.5);
    });

    it("corrects estimates that are all off the same way", () => {
        const model = new RunTimeModel();
        for (let sample = 1; sample <= 50; sample++) {
            model.observe("q", sample * 100, sample * 300);
        }
        assert.ok(Math.abs(model.estimate("q", 1_000) - 3_000) < 100);
        assert.equal(model.estimate("other", 1_000), 1_000);
    });
});
