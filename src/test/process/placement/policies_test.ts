/** Guarantees of each policy to waiting work, one scenario per test. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { createPlacementCore, type Decision, type PlacementCore } from "../../../process/placement/index.js";
import type { SettingsVersion } from "../../../version/settings.js";
import { makeItem, makeSettings, makeWorker } from "./core-fixture.js";

const random = createRandom(5);

function makeCore(workers: number, settings: SettingsVersion = makeSettings()): PlacementCore {
    const core = createPlacementCore();
    core.setSettings(settings);
    for (let index = 0; index < workers; index++) {
        core.upsertWorker(makeWorker(index));
        core.setWorkerOpen(`w${index}`, true);
    }
    return core;
}

function listStarts(decisions: readonly Decision[]): string[] {
    return decisions.flatMap(decision => decision.kind === "start" ? [decision.item.id] : []);
}

/** Enqueues `count` small batch tasks and starts as many as fit; returns the ids of those started. */
function fill(core: PlacementCore, count: number): string[] {
    for (let index = 0; index < count; index++) {
        core.enqueue(makeItem(`fill-${index}`, "batch"), 0);
    }
    return listStarts(core.decide(0, random));
}

describe("service policy", () => {
    it("serves another caller in one of the next two free slots while one caller floods the queue", () => {
        // One caller submits 400 requests at once, then another submits one. It must not wait behind all of
        // the first caller's requests: callers of a branch are served in turn.
        const core = makeCore(1);
        for (let index = 0; index < 400; index++) {
            core.enqueue(makeItem(`council-${index}`, "service", { callerId: "council", estimateMs: 1 }), 0);
        }
        const running = listStarts(core.decide(0, random));
        core.enqueue(makeItem("visitor", "service", { callerId: "visitor", queuedAt: 1 }), 1);
        const served: string[] = [];
        for (const id of running.slice(0, 2)) {
            core.release(id, 2, { ranMs: 2, failed: false });
            served.push(...listStarts(core.decide(2, random)));
        }
        assert.ok(served.includes("visitor"), served.join());
    });

    it("sheds at once, with a retry delay, what cannot start before its deadline", () => {
        // Four slots, runs of a second, 100 waiting callers: without the estimate, a request with a deadline
        // in one second would be queued until then and only then refused.
        const settings = makeSettings({ service: { maxWaitMs: 60_000, defaultEstimateMs: 1_000 } });
        const core = makeCore(1, settings);
        for (let index = 0; index < 100; index++) {
            core.enqueue(makeItem(`wait-${index}`, "service", { callerId: `caller-${index}` }), 0);
        }
        core.decide(0, random);
        const result = core.enqueue(makeItem("late", "service", { callerId: "late", deadline: 1_000 }), 0);
        assert.equal(result.kind, "shed");
        assert.ok(result.kind === "shed" && result.reason === "deadline" && result.retryAfterMs >= 100);
    });

    it("sheds the newest request of the longest flow for another caller when the queue is full", () => {
        const settings = makeSettings({ service: { queueLimit: 10, maxWaitMs: 600_000 } });
        const core = makeCore(1, settings);
        for (let index = 0; index < 14; index++) {
            core.enqueue(makeItem(`flood-${index}`, "service", { callerId: "flood" }), 0);
            core.decide(0, random);
        }
        assert.equal(core.enqueue(makeItem("other", "service", { callerId: "other" }), 0).kind, "queued");
        const shed = core.decide(0, random).filter(decision => decision.kind === "shed");
        assert.deepEqual(shed.map(decision => decision.item.id), ["flood-13"]);
    });
});

describe("batch policy", () => {
    it("starts the team that uses less, regardless of arrival order", () => {
        const core = makeCore(1);
        for (let index = 0; index < 12; index++) {
            core.enqueue(makeItem(`a-${index}`, "batch", { team: "team-a" }), 0);
        }
        const running = listStarts(core.decide(0, random));
        core.enqueue(makeItem("b-0", "batch", { team: "team-b", queuedAt: 10 }), 10);
        core.release(running[0] ?? "", 20, { ranMs: 20, failed: false });
        assert.deepEqual(listStarts(core.decide(20, random)), ["b-0"]);
    });

    it("keeps a team within its share and continues when the share grows", () => {
        const quota = { cpuMillis: 100_000, memoryMib: 100_000, accelerators: 0 };
        const team = { team: "team-a", weight: 1, quota, tokenHashes: [] };
        const core = makeCore(2, makeSettings({}, [team]));
        core.setTeamShares(new Map([["team-a", { cpuMillis: 2_000, memoryMib: 100_000, accelerators: 0 }]]));
        for (let index = 0; index < 5; index++) {
            core.enqueue(makeItem(`a-${index}`, "batch"), 0);
        }
        assert.equal(listStarts(core.decide(0, random)).length, 2);
        assert.match(core.explain("a-3", 1).join(" "), /team team-a uses all/);
        core.setTeamShares(new Map([["team-a", quota]]));
        assert.equal(listStarts(core.decide(1, random)).length, 3);
    });

    it("starts a large task eventually while small ones keep arriving", () => {
        // A task that needs a whole worker waits while tasks of one core fill every gap. Without a
        // reservation it would never start.
        const core = makeCore(2);
        const running = fill(core, 40);
        const whole = { cpuMillis: 8_000, memoryMib: 8_192, accelerators: 0 };
        core.enqueue(makeItem("large", "batch", { resources: whole, estimateMs: 1_000, queuedAt: 1 }), 1);
        let now = 1;
        let counter = 0;
        while (core.findWorkerOf("large") === undefined && now < 600_000) {
            now += 500;
            core.release(running.shift() ?? "", now, { ranMs: 1_000, failed: false });
            counter += 1;
            core.enqueue(makeItem(`small-${counter}`, "batch", { queuedAt: now }), now);
            running.push(...listStarts(core.decide(now, random)).filter(id => id !== "large"));
        }
        assert.ok(now < 120_000, `started after ${now} ms`);
    });

    it("reports at once that a task fits on no worker, with the largest capacity", () => {
        const core = makeCore(2);
        const resources = { cpuMillis: 9_000, memoryMib: 1, accelerators: 0 };
        const result = core.enqueue(makeItem("huge", "batch", { resources }), 0);
        assert.deepEqual(result, {
            kind: "neverFits",
            largest: { cpuMillis: 8_000, memoryMib: 16_384, accelerators: 2 },
        });
    });
});

describe("urgent work", () => {
    const cases = [
        { name: "victims that checkpoint in 300 ms", endsAt: "checkpoint", afterMs: 300 },
        { name: "victims that end only when stopped", endsAt: "stop", afterMs: 100 },
    ] as const;
    for (const { name, endsAt, afterMs } of cases) {
        it(`starts within 3.3 s in a full cell: ${name}`, () => {
            const core = makeCore(3);
            fill(core, 60);
            const resources = { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 };
            core.enqueue(makeItem("urgent", "batch", { urgent: true, resources, queuedAt: 1_000 }), 1_000);
            const ends: { readonly id: string; readonly at: number; }[] = [];
            let now = 1_000;
            for (; core.findWorkerOf("urgent") === undefined && now < 10_000; now += 50) {
                for (const end of ends.splice(0).filter(entry => entry.at <= now || !ends.push(entry))) {
                    core.release(end.id, now, { ranMs: now, failed: true });
                }
                for (const decision of core.decide(now, random)) {
                    if (decision.kind === "preempt" && decision.step === endsAt) {
                        ends.push({ id: decision.victimId, at: now + afterMs });
                    }
                }
            }
            assert.ok(now - 1_000 <= 3_300, `started after ${now - 1_000} ms`);
        });
    }

    it("never stops work that is not repeatable", () => {
        const core = makeCore(1);
        for (let index = 0; index < 8; index++) {
            core.enqueue(makeItem(`paid-${index}`, "batch", { repeatable: false }), 0);
        }
        core.decide(0, random);
        core.enqueue(makeItem("urgent", "batch", { urgent: true }), 1);
        const decisions = [0, 2_000, 4_000].flatMap(now => core.decide(now, random));
        assert.deepEqual(decisions.filter(decision => decision.kind === "preempt"), []);
    });

    it("keeps to its budget", () => {
        const settings = makeSettings();
        const core = makeCore(4, { ...settings, cell: { ...settings.cell, preemptionsPerMinute: 20 } });
        fill(core, 80);
        for (let index = 0; index < 20; index++) {
            core.enqueue(makeItem(`urgent-${index}`, "batch", { urgent: true }), 1);
        }
        const victims = new Set(
            core.decide(1, random).flatMap(d => d.kind === "preempt" ? [d.victimId] : []),
        );
        assert.equal(victims.size, 2);
    });
});

describe("gangs", () => {
    const makeGang = (name: string, size: number, queuedAt: number) =>
        Array.from({ length: size }, (_, index) =>
            makeItem(`${name}.${index}`, "gang", {
                gangId: name,
                queuedAt,
                resources: { cpuMillis: 4_000, memoryMib: 1_024, accelerators: 0 },
            }));

    it("starts all members or none", () => {
        const core = makeCore(2);
        const gang = makeGang("g", 4, 0);
        assert.equal(core.reserve("g", gang, 1_000, 0).held, 4);
        assert.equal(core.commitHold("g", 500).length, 4);
        assert.deepEqual(core.commitHold("g", 500), []);
    });

    it("releases a hold when it expires", () => {
        const core = makeCore(2);
        core.reserve("g", makeGang("g", 4, 0), 1_000, 0);
        assert.deepEqual(core.commitHold("g", 1_000), []);
        core.decide(1_000, random);
        assert.equal(core.getLoad().free.cpuMillis, 16_000);
    });

    it("lets the older of two gangs that compete for capacity start first", () => {
        // Two gangs of three fit only one at a time. Without an order between them, both could hold a part
        // until it expires, retry, and hold a part again.
        const core = makeCore(2);
        const [older, younger] = [makeGang("old", 3, 10), makeGang("young", 3, 20)];
        core.reserve("young", younger, 5_000, 30);
        assert.equal(core.reserve("old", older, 5_000, 40).held, 3);
        assert.deepEqual(core.commitHold("young", 50), []);
        assert.equal(core.commitHold("old", 50).length, 3);
    });

    it("starts while small tasks keep arriving, and backfill does not delay it", () => {
        // Small tasks fill every gap. Capacity is reserved for the gang as it becomes free; only tasks that
        // would end in time may start ahead of it.
        const core = makeCore(4);
        const running = fill(core, 80);
        const gang = makeGang("g", 6, 1);
        let now = 1;
        let counter = 0;
        let held = 0;
        while (held < 6 && now < 600_000) {
            now += 250;
            core.release(running.shift() ?? "", now, { ranMs: 8_000, failed: false });
            counter += 1;
            core.enqueue(makeItem(`small-${counter}`, "batch", { queuedAt: now }), now);
            running.push(...listStarts(core.decide(now, random)));
            held = core.reserve("g", gang, now + 2_000, now).held;
        }
        assert.ok(now < 20_000, `held completely after ${now} ms`);
        assert.equal(core.commitHold("g", now).length, 6);
    });
});
