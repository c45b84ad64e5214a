/** Tests which queues count as risky after which starts and losses. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { computeProofMs, CrashRisk } from "../../process/dispatch/crash-risk.js";
import type { RunAtLoss } from "../../process/dispatch/crash-risk.js";

const NOW = 20_000;

/** The loss of a worker, with the runs on it. */
interface Loss {
    readonly at: Millis;
    readonly runs: readonly (Partial<RunAtLoss> & { readonly queue: string; })[];
    readonly isConfirmed?: boolean;
    readonly isWithdrawn?: boolean;
}

interface Case {
    readonly name: string;
    /** Starts of each queue, shortly before the losses. */
    readonly starts: Readonly<Record<string, number>>;
    readonly losses: readonly Loss[];
    /** Queues with waiting work that is late or has probably crashed a worker. */
    readonly probes?: readonly string[];
    /** When the risky queues were listed before. */
    readonly listedAt?: Millis;
    readonly risky: readonly string[];
}

/** Builds losses of workers, one every 100 ms, each with the same runs. */
function buildLosses(count: number, runs: Loss["runs"], from: Millis = NOW - 1_000): readonly Loss[] {
    return Array.from({ length: count }, (_, index) => ({ at: from + index * 100, runs }));
}

const CASES: readonly Case[] = [
    {
        name: "no queue after only two crashes",
        starts: { a: 20 },
        losses: buildLosses(2, [{ queue: "a" }]),
        risky: [],
    },
    {
        name: "a queue after three crashes",
        starts: { a: 20 },
        losses: buildLosses(3, [{ queue: "a" }]),
        risky: ["a"],
    },
    {
        name: "no queue of which only one in a thousand starts was followed by a crash",
        starts: { a: 5_000 },
        losses: buildLosses(5, [{ queue: "a" }]),
        risky: [],
    },
    {
        name: "no queue whose runs had been running for long",
        starts: { a: 20 },
        losses: buildLosses(8, [{ queue: "a", provenMs: 2_000 }]),
        risky: [],
    },
    {
        name: "the queue of what had just started, not of what ran there",
        starts: { a: 20, b: 20 },
        losses: buildLosses(4, [{ queue: "a" }, { queue: "b", provenMs: 1_000 }]),
        risky: ["a"],
    },
    {
        name: "no queue for crashes that a suspect explains",
        starts: { a: 20 },
        losses: buildLosses(8, [{ queue: "a" }, { queue: "a", isSuspect: true }]),
        risky: [],
    },
    {
        name: "no queue for workers that were only cut off",
        starts: { a: 20 },
        losses: buildLosses(8, [{ queue: "a" }]).map(loss => ({ ...loss, isWithdrawn: true })),
        risky: [],
    },
    {
        name: "no queue for workers lost together with others on which nothing had just started",
        starts: { a: 20 },
        losses: [
            ...Array.from({ length: 5 }, () => ({ at: NOW - 500, runs: [{ queue: "a" }] })),
            ...Array.from({ length: 8 }, () => ({ at: NOW - 500, runs: [{ queue: "a", provenMs: 1_000 }] })),
        ],
        risky: [],
    },
    {
        name:
            "no queue for workers lost together, most of them longer after their last start than a crash takes",
        starts: { a: 20 },
        losses: [
            ...Array.from({ length: 3 }, () => ({ at: NOW - 500, runs: [{ queue: "a" }] })),
            ...Array.from({ length: 6 }, () => ({ at: NOW - 500, runs: [{ queue: "a", ageMs: 300 }] })),
        ],
        risky: [],
    },
    {
        name: "no queue for crashes of long ago",
        starts: { a: 20 },
        losses: buildLosses(8, [{ queue: "a" }], 1_000),
        listedAt: 3_000,
        risky: [],
    },
    {
        name: "no queue whose crashes were never confirmed, though late work of it waits",
        starts: { a: 20 },
        losses: buildLosses(8, [{ queue: "a" }], 1_000),
        listedAt: 3_000,
        probes: ["a"],
        risky: [],
    },
    {
        name: "a queue for as long as late work of it waits after confirmed crashes",
        starts: { a: 20 },
        losses: buildLosses(8, [{ queue: "a" }], 1_000).map(loss => ({ ...loss, isConfirmed: true })),
        listedAt: 3_000,
        probes: ["a"],
        risky: ["a"],
    },
];

describe("CrashRisk", () => {
    for (const { name, starts, losses, probes = [], listedAt, risky } of CASES) {
        it(`lists ${name}`, () => {
            const risk = new CrashRisk(0);
            const first = losses[0]?.at ?? NOW;
            for (const [queue, count] of Object.entries(starts)) {
                Array.from({ length: count }).forEach(() => risk.observeStart(queue, first - 500));
            }
            losses.forEach(({ at, runs, isConfirmed = false, isWithdrawn = false }, index) => {
                const workerId = `w${index}`;
                const lost = runs.map(run => ({
                    provenMs: 0,
                    ageMs: run.provenMs ?? 0,
                    isSuspect: false,
                    ...run,
                }));
                risk.observeLoss({ workerId, pool: "pool", runs: lost, aliveAt: at, lostAt: at });
                if (isConfirmed) {
                    risk.confirm(workerId);
                }
                if (isWithdrawn) {
                    risk.withdraw(workerId);
                }
            });
            const hasProbes = (queue: string): boolean => probes.includes(queue);
            if (listedAt !== undefined) {
                assert.deepEqual([...risk.listRisky(listedAt, hasProbes).keys()], ["a"]);
            }
            assert.deepEqual([...risk.listRisky(NOW, hasProbes).keys()], risky);
        });
    }

    it("counts workers as down for some seconds after they crashed", () => {
        const risk = new CrashRisk(0);
        const runs = [{ queue: "a", provenMs: 0, ageMs: 0, isSuspect: true }];
        risk.observeLoss({ workerId: "w1", pool: "pool", runs, aliveAt: NOW, lostAt: NOW });
        assert.equal(risk.countCrashed("pool", true, NOW + 1_000), 1);
        assert.equal(risk.countCrashed("pool", false, NOW + 1_000), 0);
        assert.equal(risk.countCrashed("pool", true, NOW + 5_000), 0);
    });

    const rates = [
        {
            name: "no rate of starts before it was counted for long enough",
            beganAt: NOW - 900,
            perS: undefined,
        },
        {
            name: "the rate of starts since it began, if that is not long ago",
            beganAt: NOW - 2_000,
            perS: 20,
        },
        { name: "the rate of starts over the last seconds", beganAt: 0, perS: 10 },
    ];
    for (const { name, beganAt, perS } of rates) {
        it(`tells ${name}`, () => {
            const risk = new CrashRisk(beganAt);
            Array.from({ length: 40 }).forEach(() => risk.observeStart("a", NOW - 500));
            buildLosses(4, [{ queue: "a" }]).forEach(({ at }, index) => {
                const runs = [{ queue: "a", provenMs: 0, ageMs: 0, isSuspect: false }];
                risk.observeLoss({ workerId: `w${index}`, pool: "pool", runs, aliveAt: at, lostAt: at });
            });
            assert.equal(risk.listRisky(NOW, () => false).get("a")?.startsPerS, perS);
        });
    }

    it("requires a longer proof the more starts end in crashes", () => {
        const proofs = [0, 0.01, 0.03, 0.2].map(recentRate =>
            computeProofMs({ starts: 0, crashes: 0, rate: 0, recentRate, startsPerS: 0, sinceCrashMs: 0 })
        );
        assert.deepEqual(proofs, [...proofs].sort((left, right) => left - right));
        assert.ok((proofs[0] ?? 0) < (proofs[3] ?? 0));
    });
});
