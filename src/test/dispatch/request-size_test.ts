/** Tests how many workers a request to the advice service names. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Resources } from "../../common/resources.js";
import {
    AllowedShares,
    MAX_REQUESTED_WORKERS,
    selectRequestedWorkers,
} from "../../process/dispatch/request-size.js";
import type { RequestCandidate, RequestNeed } from "../../process/dispatch/request-size.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { makeSpec } from "../leader/leader-cell.js";

/** Figures of the large deployments: a long request and a short one. */
const LONG = { decideMs: 559, perWorkerMs: 8.06, validMs: 2_000 };
const SHORT = { decideMs: 9.36, perWorkerMs: 0.13, validMs: 2_000 };

function makeCores(cores: number): Resources {
    return { cpuMillis: cores * 1_000, memoryMib: 65_536, accelerators: 0 };
}

function makeWorkers(count: number, freeCores: (index: number) => number): readonly RequestCandidate[] {
    return Array.from({ length: count }, (...[, index]) => {
        return { id: `w${index}`, capacity: makeCores(64), free: makeCores(freeCores(index)) };
    });
}

function makeStep(step: Partial<StepSpec>): StepSpec {
    const [spec] = makeSpec({ demand: { ...makeCores(18), memoryMib: 0 }, ...step }).steps;
    assert(spec !== undefined);
    return spec;
}

describe("selectRequestedWorkers", () => {
    const cases: {
        name: string;
        workers: readonly RequestCandidate[];
        need: Partial<RequestNeed>;
        least: number;
        most: number;
    }[] = [
        {
            // A gang of 20 tasks of 18 cores waits for 246 empty workers. Three tasks fit on a worker and a
            // third of the workers is allowed, so naming 40 suffices twice over. Naming 100, the maximum,
            // would take 1.4 s, while the whole job may take 2.2 times its own run time.
            name: "names no more workers than a gang needs",
            workers: makeWorkers(246, () => 64),
            need: { tasks: 20, allowedShare: 0.35 },
            least: 30,
            most: 40,
        },
        {
            name: "names more where few are allowed",
            workers: makeWorkers(246, () => 64),
            need: { tasks: 20, allowedShare: 0.15 },
            least: 80,
            most: MAX_REQUESTED_WORKERS,
        },
        {
            name: "names more where workers are full",
            workers: makeWorkers(246, () => 10),
            need: { tasks: 20, allowedShare: 0.35 },
            least: 90,
            most: MAX_REQUESTED_WORKERS,
        },
        {
            name: "names at least as many as cost next to nothing",
            workers: makeWorkers(246, () => 64),
            need: { tasks: 1, allowedShare: 0.7 },
            least: 17,
            most: 17,
        },
        {
            name: "names all of a small pool",
            workers: makeWorkers(5, () => 64),
            need: { tasks: 1, allowedShare: 0.7 },
            least: 5,
            most: 5,
        },
        {
            name: "counts one task for each worker where more may not run on it",
            workers: makeWorkers(246, () => 64),
            need: { tasks: 20, allowedShare: 0.5, spec: makeStep({ maxPerWorker: 1 }) },
            least: 60,
            most: 60,
        },
    ];
    for (const { name, workers, need, least, most } of cases) {
        it(name, () => {
            const spec = makeStep({ isGang: true });
            const ids = selectRequestedWorkers(workers, {
                spec,
                tasks: 1,
                policy: LONG,
                allowedShare: 0.4,
                ...need,
            });
            assert.ok(ids.length >= least && ids.length <= most, `${ids.length} were named`);
        });
    }

    it("names those with the most free capacity first", () => {
        const workers = makeWorkers(60, index => index === 41 ? 64 : 20);
        const need = { spec: makeStep({}), tasks: 1, policy: SHORT, allowedShare: 0.7 };
        assert.equal(selectRequestedWorkers(workers, need)[0], "w41");
    });
});

describe("AllowedShares", () => {
    it("learns the share of each queue", () => {
        const shares = new AllowedShares();
        for (let answer = 0; answer < 100; answer++) {
            shares.observe("many", 30, 21);
            shares.observe("none", 30, 0);
        }
        assert.ok(Math.abs(shares.getShare("many") - 0.7) < 0.02);
        assert.equal(shares.getShare("none"), 0.1);
    });
});
