/** Heartbeats and silence, on a fake clock over real sockets. */
import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { it } from "node:test";
import { DEFAULT_LINK_LIMITS, PeerLink } from "../../connection/peer-link.js";
import type { LinkCloseReason, LinkOwner } from "../../connection/peer-link.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { waitUntil } from "../fakes/wait-until.js";

class Owner implements LinkOwner {
    up = false;
    closed: LinkCloseReason | undefined;

    isMember(): boolean {
        return true;
    }
    getNextLinkNumber(): number {
        return 1;
    }
    handleLinkUp(): boolean {
        this.up = true;
        return true;
    }
    receiveMessage(): void {}
    handleLinkClosed(closed: PeerLink, reason: LinkCloseReason): void {
        assert.ok(closed);
        this.closed = reason;
    }
}

async function openPair(): Promise<readonly [Socket, Socket, () => void]> {
    const server = createServer();
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const accepted = new Promise<Socket>(resolve => {
        server.once("connection", resolve);
    });
    const dialed = connect((server.address() as AddressInfo).port, "127.0.0.1");
    return [dialed, await accepted, () => server.close()];
}

async function openLinks() {
    const [dialed, accepted, closeServer] = await openPair();
    const clocks = [new FakeClock(), new FakeClock()] as const;
    const owners = [new Owner(), new Owner()] as const;
    const limits = DEFAULT_LINK_LIMITS;
    const identity = { cell: "c", secret: "s" };
    const near = new PeerLink({
        socket: dialed,
        side: "dialer",
        identity: { ...identity, memberId: "a" },
        expectedId: "b",
        limits,
        clock: clocks[0],
        owner: owners[0],
    });
    const far = new PeerLink({
        socket: accepted,
        side: "acceptor",
        identity: { ...identity, memberId: "b" },
        limits,
        clock: clocks[1],
        owner: owners[1],
    });
    await waitUntil(() => owners.every(owner => owner.up), "a link");
    return { near, far, clocks, owners, closeServer };
}

it("a link without messages stays up by beats, and closes when the other end falls silent", async () => {
    // The VM at the far end freezes: no FIN, no reset, only silence. Callers' work would be sent into it for
    // minutes. The cause is shown by a clock that stands still at the far end.
    const { near, clocks, owners, closeServer } = await openLinks();
    for (let beat = 0; beat < 20; beat++) {
        await clocks[0].step(500);
        await clocks[1].step(500);
        await new Promise(resolve => {
            setImmediate(resolve);
        });
    }
    await waitUntil(() => owners[0].closed === undefined, "a link that is still up");
    await clocks[0].step(DEFAULT_LINK_LIMITS.idleTimeoutMs * 2);
    assert.equal(owners[0].closed?.code, "CR1306");
    assert.equal(near.countBuffered(), 0);
    await waitUntil(() => owners[1].closed !== undefined, "the end at the other side");
    closeServer();
});

it("a connection that never says hello is closed", async () => {
    const [dialed, accepted, closeServer] = await openPair();
    const clock = new FakeClock();
    const owner = new Owner();
    new PeerLink({
        socket: accepted,
        side: "acceptor",
        identity: { cell: "c", secret: "s", memberId: "b" },
        limits: DEFAULT_LINK_LIMITS,
        clock,
        owner,
    });
    await clock.step(DEFAULT_LINK_LIMITS.handshakeTimeoutMs);
    assert.equal(owner.closed?.code, "CR1303");
    dialed.destroy();
    closeServer();
});
