/** Digests between two hubs over the fake network. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { createPeerHub, type OwnDigest, type OwnedPeerHub } from "../../../process/peers/index.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { FakePeerNetwork } from "../../fakes/fake-peer-network.js";
import { createFakeMetrics } from "../../fakes/fake-telemetry.js";
import { PausableClock } from "../../fakes/pausable-clock.js";

const NOTHING = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };

function makeDigest(sequence: number): OwnDigest {
    return {
        kind: "digest",
        sequence,
        treeVersion: 1,
        tableRevision: 1,
        storeContactAgeMs: 0,
        draining: false,
        suspects: [],
        slices: [],
        load: {
            workers: 0,
            freeSlots: 0,
            totalSlots: 0,
            queuedRequests: 0,
            queuedTasks: 0,
            free: NOTHING,
            total: NOTHING,
            largestFree: NOTHING,
            largestWorker: NOTHING,
            teamUse: {},
        },
    };
}

async function makePair() {
    const clock = new FakeClock();
    const network = new FakePeerNetwork(clock);
    const make = (memberId: string) => {
        const own = new PausableClock(clock);
        const port = network.createPort(memberId, own);
        const options = { memberId, clock: own, random: createRandom(1), metrics: createFakeMetrics(), port };
        return { hub: createPeerHub(options), port, own };
    };
    const left = make("a");
    const right = make("b");
    left.port.setPeers([{ memberId: "b", host: "127.0.0.1", port: 2 }]);
    right.port.setPeers([{ memberId: "a", host: "127.0.0.1", port: 1 }]);
    await clock.step(100);
    return { clock, left, right };
}

function requireCreationBound(hub: OwnedPeerHub, memberId: string): number {
    const received = hub.getDigest(memberId);
    assert.ok(received !== undefined);
    return received.createdAfter;
}

describe("the age of a digest", () => {
    it("is counted from the send time of the digest that it echoes", async () => {
        const { clock, left, right } = await makePair();
        const sentAt = clock.now();
        left.hub.publishDigest(makeDigest(1));
        await clock.step(100);
        right.hub.publishDigest(makeDigest(1));
        await clock.step(100);
        assert.equal(requireCreationBound(left.hub, "b"), sentAt);
    });

    it("is unknown until a digest has been echoed", async () => {
        const { clock, left, right } = await makePair();
        right.hub.publishDigest(makeDigest(1));
        await clock.step(100);
        assert.equal(requireCreationBound(left.hub, "b"), Number.NEGATIVE_INFINITY);
    });

    // An entry is paused for a minute while digests of its peers wait in its socket's buffer. If their age
    // were counted from when it reads them, they would appear fresh, and the entry would rely on peers that
    // have long since assigned its slices to others.
    it("does not shrink in a buffer while the receiver is paused", async () => {
        const { clock, left, right } = await makePair();
        const sentAt = clock.now();
        left.hub.publishDigest(makeDigest(1));
        await clock.step(100);
        left.own.pause();
        right.hub.publishDigest(makeDigest(1));
        await clock.step(60_000);
        left.own.resume();
        await clock.step(10);
        assert.ok((left.hub.getDigest("b")?.receivedAt ?? 0) > sentAt + 60_000);
        assert.equal(requireCreationBound(left.hub, "b"), sentAt);
    });
});
