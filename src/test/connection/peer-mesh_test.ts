/**
 * Real meshes on loopback: one link for each pair; unauthenticated or faulty peers don't affect other links.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { systemClock } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import { encodeFrame, FrameDecoder } from "../../connection/frame-codec.js";
import { computeProof } from "../../connection/handshake.js";
import type { PeerMessage } from "../../connection/messages.js";
import { createPeerMesh } from "../../connection/peer-mesh.js";
import type { PeerMesh, PeerMeshOptions } from "../../connection/peer-mesh.js";
import { createFakeLog, createFakeMetrics, listCodes } from "../fakes/fake-telemetry.js";
import type { FakeLog } from "../fakes/fake-telemetry.js";
import { waitUntil } from "../fakes/wait-until.js";
import { SAMPLE_DIGEST, SAMPLE_SERVE } from "./sample-messages.js";

const HOST = "127.0.0.1";
const SECRET = "long and shared";
const NONCE = new Uint8Array(16).fill(5);

interface Member {
    readonly id: string;
    readonly mesh: PeerMesh;
    readonly log: FakeLog;
    readonly received: { readonly from: string; readonly message: PeerMessage; }[];
    readonly up: Set<string>;
    readonly changes: string[];
}

const opened: { close(): unknown; }[] = [];
afterEach(async () => {
    await Promise.all(opened.splice(0).map(item => item.close()));
});

async function openMember(id: string, options: Partial<PeerMeshOptions> = {}): Promise<Member> {
    const log = createFakeLog(true);
    const mesh = await createPeerMesh({
        memberId: id,
        cell: "test",
        secret: SECRET,
        host: HOST,
        port: 0,
        clock: systemClock,
        random: createRandom(1),
        log,
        metrics: createFakeMetrics(),
        ...options,
        limits: { minBackoffMs: 2_000, ...options.limits },
    });
    const member: Member = { id, mesh, log, received: [], up: new Set(), changes: [] };
    mesh.install({
        receiveMessage: (from, message) => member.received.push({ from, message }),
        handleLinkChange: (peer, up) => {
            member.changes.push(`${peer} ${up ? "up" : "down"}`);
            if (up) {
                member.up.add(peer);
            }
            else {
                member.up.delete(peer);
            }
        },
    });
    opened.push(mesh);
    return member;
}

function connectAll(members: readonly Member[]): void {
    const addresses = members.map(({ id, mesh }) => ({ memberId: id, host: HOST, port: mesh.port }));
    members.forEach(member => member.mesh.setPeers(addresses));
}

/** A peer that sends raw frames and can violate the protocol. */
class RawPeer {
    readonly frames: Record<string, unknown>[] = [];
    ended = false;
    private readonly decoder = new FrameDecoder(1_000_000);

    constructor(readonly socket: Socket) {
        socket.on("data", chunk => this.decoder.push(chunk, frame => this.frames.push(frame as never) > 0));
        socket.on("close", () => {
            this.ended = true;
        });
        socket.on("error", () => undefined);
        opened.push({ close: () => socket.destroy() });
    }

    async connectAs(memberId: string, secret: string, linkNumber: number): Promise<void> {
        this.socket.write(encodeFrame({ kind: "hello", version: 1, cell: "test", memberId, nonce: NONCE }));
        await waitUntil(() => this.frames.length > 0 || this.ended, "an answer to hello");
        const welcome = this.frames[0] as { readonly memberId: string; readonly nonce: Uint8Array; };
        const transcript = {
            cell: "test",
            dialerId: memberId,
            acceptorId: welcome.memberId,
            dialerNonce: NONCE,
            acceptorNonce: welcome.nonce,
        };
        const proof = computeProof(secret, "dialer", transcript);
        this.socket.write(encodeFrame({ kind: "confirm", proof, linkNumber }));
    }
}

function openRaw(mesh: PeerMesh): RawPeer {
    return new RawPeer(connect(mesh.port, HOST));
}

describe("PeerMesh", () => {
    it("delivers messages in both directions, in order", async () => {
        const [a, b] = [await openMember("a"), await openMember("b")];
        connectAll([a, b]);
        await waitUntil(() => a.up.has("b") && b.up.has("a"), "a link");
        for (let sequence = 0; sequence < 200; sequence++) {
            assert.equal(a.mesh.send("b", { ...SAMPLE_DIGEST, sequence } as PeerMessage), true);
        }
        b.mesh.send("a", SAMPLE_SERVE);
        await waitUntil(() => b.received.length === 200 && a.received.length === 1, "all messages");
        const sequences = b.received.map(({ message }) => message.kind === "digest" && message.sequence);
        assert.deepEqual(sequences, [...Array(200).keys()]);
    });

    it("converges to one link for each pair when all dial at once", async () => {
        // Without the initial backoff, both ends of every pair dial at the same instant.
        const limits = { minBackoffMs: 0, maxBackoffMs: 1 };
        const members = await Promise.all(["a", "b", "c", "d", "e"].map(id => openMember(id, { limits })));
        connectAll(members);
        await waitUntil(() => members.every(member => member.up.size === 4), "a full mesh");
        await waitUntil(() => {
            // Sent repeatedly, since messages in flight on a link that is then replaced are lost.
            members.forEach(member => members.forEach(other => member.mesh.send(other.id, SAMPLE_SERVE)));
            return members.every(member => new Set(member.received.map(({ from }) => from)).size === 4);
        }, "messages from each member to each other");
        assert.deepEqual(members.flatMap(member => listCodes(member.log)), []);
    });

    it("links to the replacement of a member at another port", async () => {
        // A VM is replaced: its links break, dials to it fail, then the ownership table has the new address.
        const [a, b] = [await openMember("a"), await openMember("b")];
        connectAll([a, b]);
        await waitUntil(() => a.up.has("b"), "the first link");
        await b.mesh.close();
        await waitUntil(() => !a.up.has("b"), "the loss of the link");
        assert.equal(a.mesh.send("b", SAMPLE_SERVE), false);
        const replacement = await openMember("b2");
        connectAll([a, replacement]);
        await waitUntil(() => a.up.has("b2"), "the new link");
        assert.deepEqual(a.changes, ["b up", "b down", "b2 up"]);
    });

    it("drops messages of an older link after a newer one replaced it", async () => {
        // A peer was partitioned off and linked again. The old connection then delivers an old digest, which
        // would overwrite newer state if it were accepted.
        const z = await openMember("z");
        z.mesh.setPeers([{ memberId: "b", host: HOST, port: 1 }]);
        const [older, newer] = [openRaw(z.mesh), openRaw(z.mesh)];
        await older.connectAs("b", SECRET, 1);
        await waitUntil(() => z.up.has("b"), "the first link");
        await newer.connectAs("b", SECRET, 2);
        await waitUntil(() => older.ended, "the end of the older link");
        older.socket.write(encodeFrame(SAMPLE_DIGEST));
        newer.socket.write(encodeFrame(SAMPLE_SERVE));
        await waitUntil(() => z.received.length > 0, "a message");
        assert.deepEqual(z.received.map(({ message }) => message.kind), ["call"]);
        assert.deepEqual(z.changes, ["b up", "b down", "b up"]);
    });

    it("keeps the link with the higher number when frames cross", async () => {
        const z = await openMember("z");
        z.mesh.setPeers([{ memberId: "b", host: HOST, port: 1 }]);
        const [late, early] = [openRaw(z.mesh), openRaw(z.mesh)];
        await early.connectAs("b", SECRET, 2);
        await waitUntil(() => z.up.has("b"), "the link with number 2");
        await late.connectAs("b", SECRET, 1);
        await waitUntil(() => late.ended, "the end of the link with number 1");
        assert.deepEqual([early.ended, z.changes], [false, ["b up"]]);
    });

    const oversized = Buffer.from([0x7f, 0xff, 0xff, 0xff]);
    const invalidFirstFrames = [
        { name: "HTTP", bytes: Buffer.from("GET / HTTP/1.1\r\nhost: x\r\n\r\n"), code: "CR1301" },
        { name: "an oversized frame", bytes: oversized, code: "CR1301" },
        { name: "another message first", bytes: encodeFrame(SAMPLE_SERVE), code: "CR1303" },
        {
            name: "another version",
            bytes: encodeFrame({ kind: "hello", version: 2, cell: "test", memberId: "b", nonce: NONCE }),
            code: "CR1305",
        },
        {
            name: "another cell",
            bytes: encodeFrame({ kind: "hello", version: 1, cell: "x", memberId: "b", nonce: NONCE }),
            code: "CR1303",
        },
    ];
    for (const { name, bytes, code } of invalidFirstFrames) {
        it(`closes only the connection of an unauthenticated peer that sends ${name}`, async () => {
            const [a, b] = [await openMember("a"), await openMember("b")];
            connectAll([a, b]);
            await waitUntil(() => a.up.has("b"), "the link between the members");
            const stranger = openRaw(a.mesh);
            stranger.socket.write(bytes);
            await waitUntil(() => stranger.ended, "the end of the unauthenticated connection");
            assert.deepEqual(listCodes(a.log), [code]);
            assert.deepEqual(a.changes, ["b up"]);
        });
    }

    it("refuses a peer that does not know the secret", async () => {
        const z = await openMember("z");
        z.mesh.setPeers([{ memberId: "b", host: HOST, port: 1 }]);
        const stranger = openRaw(z.mesh);
        await stranger.connectAs("b", "guessed", 1);
        await waitUntil(() => stranger.ended, "the end of the unauthenticated connection");
        assert.deepEqual(listCodes(z.log), ["CR1304"]);
        assert.equal(stranger.frames.at(-1)?.["kind"], "refused");
    });

    for (
        const { name, frame, code } of [
            { name: "malformed message", frame: encodeFrame({ kind: "digest" }), code: "CR1302" },
            { name: "oversized frame", frame: oversized, code: "CR1301" },
        ]
    ) {
        it(`closes the link at a ${name} of a member, and accepts its next link`, async () => {
            const z = await openMember("z");
            z.mesh.setPeers([{ memberId: "b", host: HOST, port: 1 }]);
            const faulty = openRaw(z.mesh);
            await faulty.connectAs("b", SECRET, 1);
            await waitUntil(() => z.up.has("b"), "a link");
            faulty.socket.write(frame);
            await waitUntil(() => faulty.ended, "the end of the link");
            assert.deepEqual(listCodes(z.log), [code]);
            await openRaw(z.mesh).connectAs("b", SECRET, 2);
            await waitUntil(() => z.up.has("b"), "the next link");
        });
    }

    it("stops queuing messages for a member that does not read once the buffer limit is exceeded", async () => {
        const z = await openMember("z", { limits: { maxBufferedBytes: 100_000 } });
        z.mesh.setPeers([{ memberId: "b", host: HOST, port: 1 }]);
        const slow = openRaw(z.mesh);
        await slow.connectAs("b", SECRET, 1);
        await waitUntil(() => z.up.has("b"), "a link");
        slow.socket.pause();
        const message: PeerMessage = {
            kind: "answer",
            callId: "1",
            body: { kind: "error", code: "invalid", message: "x".repeat(50_000) },
        };
        let queued = 0;
        while (queued < 1_000 && z.mesh.send("b", message)) {
            queued++;
        }
        // Two messages are buffered; at the third one the limit is exceeded already.
        assert.equal(queued, 2);
    });

    it("gives the place of the oldest unfinished handshake to a new link", async () => {
        // Guards against silent connections that keep members out.
        const z = await openMember("z", { limits: { maxHandshakes: 2 } });
        z.mesh.setPeers([{ memberId: "b", host: HOST, port: 1 }]);
        const silent = [openRaw(z.mesh), openRaw(z.mesh)];
        await Promise.all(
            silent.map(peer => waitUntil(() => !peer.socket.connecting, "a silent connection")),
        );
        await openRaw(z.mesh).connectAs("b", SECRET, 1);
        await waitUntil(() => z.up.has("b"), "the link of a member");
        assert.deepEqual(silent.map(peer => peer.ended), [true, false]);
    });
});
