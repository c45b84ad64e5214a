/** Gauges of packing and of the entry's own cost. */
import assert from "node:assert/strict";
import { it } from "node:test";
import { EntryGauges } from "../../process/entry-gauges.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeMetrics } from "../fakes/fake-telemetry.js";

const TOTAL = { cpuMillis: 8_000, memoryMib: 1_000, accelerators: 0 };
const LOAD = {
    workers: 2,
    freeSlots: 5,
    totalSlots: 16,
    queuedRequests: 3,
    queuedTasks: 4,
    free: { cpuMillis: 2_000, memoryMib: 1_000, accelerators: 0 },
    total: TOTAL,
    largestFree: TOTAL,
    largestWorker: TOTAL,
    teamUse: {},
};

it("sends the used share once per interval, and none for a resource that no worker has", async () => {
    const clock = new FakeClock();
    const metrics = createFakeMetrics();
    const sent: string[] = [];
    const gauges = new EntryGauges(clock, {
        ...metrics,
        gauge: (name, value, tags) => sent.push(`${name} ${tags?.["dimension"] ?? ""} ${value}`),
    });
    gauges.record(LOAD);
    assert.deepEqual(sent.filter(each => each.startsWith("placer.packing")), [
        "placer.packing cpuMillis 0.75",
        "placer.packing memoryMib 0",
    ]);
    const before = sent.length;
    await clock.step(4_999);
    gauges.record(LOAD);
    assert.equal(sent.length, before);
    await clock.step(1);
    gauges.record(LOAD);
    assert.ok(sent.some(each => each.startsWith("entry.cpu_share")));
});
