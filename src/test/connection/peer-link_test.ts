/** Heartbeats and timeouts of links, on a fake clock over real sockets. */
import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { it } from "node:test";
import { DEFAULT_LINK_LIMITS, PeerLink } from "../../connection/peer-link.js";
import type { LinkCloseReason, LinkOwner } from "../../connection/peer-link.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { waitUntil } from "../fakes/wait-until.js";

class FakeLinkOwner implements LinkOwner {
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

async function openSocketPair(): Promise<readonly [Socket, Socket, () => void]> {
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
    const [dialed, accepted, closeServer] = await openSocketPair();
    const clocks = [new FakeClock(), new FakeClock()] as const;
    const owners = [new FakeLinkOwner(), new FakeLinkOwner()] as const;
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

it("heartbeats keep an idle link up, and it closes when the other end stops sending", async () => {
    // A VM that freezes sends no FIN and no reset, so work would be sent to it for minutes. The clock of the
    // far end stops to simulate this.
    const { near, clocks, owners, closeServer } = await openLinks();
    for (let beat = 0; beat < 20; beat++) {
        await clocks[0].step(500);
        await clocks[1].step(500);
        await new Promise(resolve => {
            setImmediate(resolve);
        });
    }
    await waitUntil(() => owners[0].closed === undefined, "the link to stay up");
    await clocks[0].step(DEFAULT_LINK_LIMITS.idleTimeoutMs * 2);
    assert.equal(owners[0].closed?.code, "CR1306");
    assert.equal(near.countBuffered(), 0);
    await waitUntil(() => owners[1].closed !== undefined, "the other end to close");
    closeServer();
});

it("closes a connection that never sends hello", async () => {
    const [dialed, accepted, closeServer] = await openSocketPair();
    const clock = new FakeClock();
    const owner = new FakeLinkOwner();
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
