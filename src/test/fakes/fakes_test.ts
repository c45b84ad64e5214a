/** The fakes inject exactly the faults that they are set to. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../common/random.js";
import type { NotificationBody, PeerMessage } from "../../connection/messages.js";
import type { PeerPort } from "../../process/ports/index.js";
import { StoreModel, VmListModel } from "../../stand-ins/index.js";
import { CallPath } from "./call-path.js";
import type { CallFault } from "./call-path.js";
import { FakeClock } from "./fake-clock.js";
import { FakePeerNetwork } from "./fake-peer-network.js";
import { FakeStorePort } from "./fake-store-port.js";
import { PausableClock } from "./pausable-clock.js";

function makeStorePort(): {
    clock: FakeClock;
    member: PausableClock;
    store: StoreModel;
    path: CallPath;
    port: FakeStorePort;
} {
    const clock = new FakeClock();
    const member = new PausableClock(clock);
    const store = new StoreModel(clock);
    const path = new CallPath(clock, member, { latencyMs: 1, random: createRandom(1) });
    return { clock, member, store, path, port: new FakeStorePort(store, path) };
}

const SWAP = { key: "a", value: "1", expectedRevision: 0 };

describe("CallPath", () => {
    const cases: { fault: CallFault; answer: string; written: boolean; }[] = [
        { fault: { kind: "dropRequest" }, answer: "unknown", written: false },
        { fault: { kind: "dropAnswer" }, answer: "unknown", written: true },
        { fault: { kind: "delayRequest", ms: 200 }, answer: "unknown", written: true },
        { fault: { kind: "delayAnswer", ms: 50 }, answer: "done", written: true },
        { fault: { kind: "refuseConnection" }, answer: "unavailable", written: false },
    ];
    for (const { fault, answer, written } of cases) {
        it(`${fault.kind}: ${answer}, ${written ? "written" : "not written"}`, async () => {
            const { clock, path, port, store } = makeStorePort();
            path.plan(fault);
            const result = await clock.wait(port.swap(SWAP, 100), 100);
            await clock.step(500);
            assert.equal(result.kind, answer);
            assert.equal(store.getRevision(), written ? 1 : 0);
        });
    }

    it("defers an answer while its member is paused", async () => {
        const { clock, member, port } = makeStorePort();
        let answered = false;
        void port.swap(SWAP, 10_000).then(() => {
            answered = true;
        });
        member.pause();
        await clock.step(5_000);
        assert.equal(answered, false);
        member.resume();
        await clock.step(0);
        assert.equal(answered, true);
    });
});

describe("PausableClock", () => {
    it("runs deferred timers in order after a resume, and none after a kill", async () => {
        const base = new FakeClock();
        const clock = new PausableClock(base);
        const ran: number[] = [];
        clock.pause();
        [30, 10, 20].forEach(delay => clock.schedule(delay, () => ran.push(delay)));
        await base.step(100);
        clock.resume();
        clock.post(() => ran.push(99));
        await base.step(0);
        assert.deepEqual(ran, [10, 20, 30, 99]);
        clock.schedule(1, () => ran.push(1));
        clock.kill();
        await base.step(10);
        assert.equal(ran.length, 4);
    });
});

describe("FakePeerNetwork", () => {
    interface Side {
        readonly port: PeerPort;
        readonly clock: PausableClock;
        readonly received: number[];
        readonly links: boolean[];
    }

    function makePair(): { base: FakeClock; network: FakePeerNetwork; left: Side; right: Side; } {
        const base = new FakeClock();
        const network = new FakePeerNetwork(base);
        const [left, right] = ["left", "right"].map(memberId => {
            const clock = new PausableClock(base);
            const port = network.createPort(memberId, clock);
            const side: Side = { port, clock, received: [], links: [] };
            port.install({
                receiveMessage: (...[, message]) => side.received.push(getNumber(message)),
                handleLinkChange: (...[, up]) => side.links.push(up),
            });
            return side;
        });
        assert(left !== undefined && right !== undefined);
        left.port.setPeers([{ memberId: "right", host: "127.0.0.1", port: 1 }]);
        right.port.setPeers([{ memberId: "left", host: "127.0.0.1", port: 1 }]);
        return { base, network, left, right };
    }

    it("delivers in order once both ends want the link", async () => {
        const { base, left, right } = makePair();
        assert.equal(left.port.send("right", makeMessage(0)), false);
        await base.step(50);
        [1, 2, 3].forEach(number => assert(left.port.send("right", makeMessage(number))));
        await base.step(5);
        assert.deepEqual(right.received, [1, 2, 3]);
    });

    it("loses messages in flight at a cut and reconnects after a heal", async () => {
        const { base, network, left, right } = makePair();
        await base.step(50);
        left.port.send("right", makeMessage(1));
        network.cutLink("left", "right");
        left.port.send("right", makeMessage(2));
        await base.step(100);
        assert.equal(left.port.send("right", makeMessage(3)), false);
        network.healAll();
        await base.step(100);
        left.port.send("right", makeMessage(4));
        await base.step(5);
        assert.deepEqual([right.received, right.links], [[4], [true, false, true]]);
    });

    it("reports a broken link before it delivers messages that follow lost ones", async () => {
        const { base, network, left, right } = makePair();
        await base.step(50);
        left.port.send("right", makeMessage(1));
        network.cutLink("left", "right");
        network.healLink("left", "right");
        left.port.send("right", makeMessage(2));
        await base.step(100);
        left.port.send("right", makeMessage(3));
        await base.step(5);
        assert.deepEqual([right.received, right.links], [[3], [true, false, true]]);
    });

    it("defers messages for a paused member", async () => {
        const { base, left, right } = makePair();
        await base.step(50);
        right.clock.pause();
        [1, 2].forEach(number => left.port.send("right", makeMessage(number)));
        await base.step(1_000);
        assert.deepEqual(right.received, []);
        right.clock.resume();
        await base.step(0);
        assert.deepEqual(right.received, [1, 2]);
    });
});

describe("VmListModel", () => {
    it("shows changes after its lag", async () => {
        const clock = new FakeClock();
        const list = new VmListModel(clock, 100);
        const vm = {
            workerId: "w",
            url: "http://127.0.0.1:1",
            rack: "r",
            failureDomain: "d",
            state: "live",
        } as const;
        list.put(vm);
        await clock.step(100);
        list.setState("w", "leaving");
        await clock.step(99);
        assert.equal(list.list()[0]?.state, "live");
        await clock.step(1);
        assert.equal(list.list()[0]?.state, "leaving");
    });
});

function makeMessage(number: number): PeerMessage {
    const body: NotificationBody = { kind: "acknowledge", homeSlice: number, attempts: [] };
    return { kind: "note", body };
}

function getNumber(message: PeerMessage): number {
    return message.kind === "note" && message.body.kind === "acknowledge" ? message.body.homeSlice : -1;
}
