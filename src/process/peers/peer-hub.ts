/** Calls, notifications and digests between entries, over any {@link PeerPort}. */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import { makeUniqueId, type Random } from "../../common/random.js";
import {
    type AnswerBody,
    type CallBody,
    type CallMessage,
    type DigestMessage,
    type NotificationBody,
    PeerErrorCode,
    type PeerMessage,
} from "../../connection/messages.js";
import type { PeerPort } from "../ports/peer-port.js";
import type { CallResult, PeerHub, ReceivedDigest } from "../roles.js";
import type { Metrics } from "../telemetry.js";

/** Maximum number of pending calls to one peer; further ones end as `notSent`. */
const MAX_PENDING_CALLS_PER_PEER = 10_000;

/**
 * Number of own digests whose send times are kept; an echo of an older one gives no information about its
 * age.
 */
const MAX_SEND_TIMES = 128;

/** A digest of this entry, to which the hub adds the echoes. */
export type OwnDigest = Omit<DigestMessage, "echoes">;

/** Handles incoming messages and link changes. */
export interface HubListener {
    handleCall(from: string, body: CallBody): Promise<AnswerBody>;
    receiveNotification(from: string, body: NotificationBody): void;
    receiveDigest(from: string, received: ReceivedDigest): void;
    handleLinkChange(memberId: string, up: boolean): void;
}

/** Options of {@link createPeerHub}. */
export interface PeerHubOptions {
    readonly memberId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly port: PeerPort;
}

/** The hub as its owner sees it: can also install the listener and publish digests. */
export interface OwnedPeerHub extends PeerHub {
    install(listener: HubListener): void;
    /** Sends a digest to every member whose link is up. */
    publishDigest(digest: OwnDigest): void;
}

/** Creates the hub of one entry and installs itself as listener of the port. */
export function createPeerHub(options: PeerHubOptions): OwnedPeerHub {
    return new PortPeerHub(options);
}

interface PendingCall {
    readonly memberId: string;
    readonly timer: Timer;
    readonly settleCall: (result: CallResult) => void;
}

class PortPeerHub implements OwnedPeerHub {
    private listener: HubListener | undefined;
    private readonly reachablePeers = new Set<string>();
    private readonly digests = new Map<string, ReceivedDigest>();
    /** Send times of this entry's latest digests, by sequence number. */
    private readonly sendTimes = new Map<number, Millis>();
    private readonly pendingCalls = new Map<string, PendingCall>();
    private readonly pendingCallCounts = new Map<string, number>();
    private readonly callPrefix: string;
    private nextCall = 0;

    constructor(private readonly options: PeerHubOptions) {
        this.callPrefix = makeUniqueId(options.random);
        options.port.install({
            receiveMessage: (memberId, message) => this.receiveMessage(memberId, message),
            handleLinkChange: (memberId, up) => this.handleLinkChange(memberId, up),
        });
    }

    install(listener: HubListener): void {
        this.listener = listener;
    }

    publishDigest(own: OwnDigest): void {
        const echoes = Object.fromEntries(
            [...this.digests].map(([memberId, received]) => [memberId, received.digest.sequence]),
        );
        const digest = { ...own, echoes };
        this.recordSendTime(own.sequence);
        this.acceptDigest(this.options.memberId, digest);
        for (const memberId of this.reachablePeers) {
            this.options.port.send(memberId, digest);
        }
    }

    call(memberId: string, body: CallBody, timeoutMs: Millis): Promise<CallResult> {
        if (memberId === this.options.memberId) {
            return this.callSelf(body, timeoutMs);
        }
        const count = this.pendingCallCounts.get(memberId) ?? 0;
        const callId = `${this.callPrefix}${this.nextCall++}`;
        const message: CallMessage = { kind: "call", callId, timeoutMs, body };
        if (
            count >= MAX_PENDING_CALLS_PER_PEER || !this.reachablePeers.has(memberId) ||
            !this.options.port.send(memberId, message)
        ) {
            return Promise.resolve({ kind: "notSent" });
        }
        this.pendingCallCounts.set(memberId, count + 1);
        return new Promise(resolve => {
            const timer = this.options.clock.schedule(
                timeoutMs,
                () => this.settle(callId, { kind: "lost", message: `no answer within ${timeoutMs} ms` }),
            );
            this.pendingCalls.set(callId, { memberId, timer, settleCall: resolve });
        });
    }

    notify(memberId: string, body: NotificationBody): boolean {
        if (memberId === this.options.memberId) {
            this.options.clock.schedule(0, () => this.listener?.receiveNotification(memberId, body));
            return true;
        }
        return this.reachablePeers.has(memberId) && this.options.port.send(memberId, { kind: "note", body });
    }

    getDigest(memberId: string): ReceivedDigest | undefined {
        return this.digests.get(memberId);
    }

    listReachable(): readonly string[] {
        return [this.options.memberId, ...this.reachablePeers];
    }

    private callSelf(body: CallBody, timeoutMs: Millis): Promise<CallResult> {
        const { clock, memberId } = this.options;
        return new Promise(resolve => {
            const timer = clock.schedule(
                timeoutMs,
                () => resolve({ kind: "lost", message: `no answer within ${timeoutMs} ms` }),
            );
            void this.handleCall(memberId, body).then(answer => {
                timer.cancel();
                resolve({ kind: "answer", body: answer });
            });
        });
    }

    private async handleCall(from: string, body: CallBody): Promise<AnswerBody> {
        if (this.listener === undefined) {
            return {
                kind: "error",
                code: PeerErrorCode.notReady,
                message: "the entry is starting: ask again",
            };
        }
        return await this.listener.handleCall(from, body);
    }

    private receiveMessage(memberId: string, message: PeerMessage): void {
        switch (message.kind) {
            case "digest":
                this.acceptDigest(memberId, message);
                break;
            case "note":
                this.listener?.receiveNotification(memberId, message.body);
                break;
            case "call":
                void this.handleCall(memberId, message.body).then(body =>
                    this.options.port.send(memberId, { kind: "answer", callId: message.callId, body })
                );
                break;
            case "answer":
                this.settle(message.callId, { kind: "answer", body: message.body });
                break;
        }
    }

    private acceptDigest(memberId: string, digest: DigestMessage): void {
        const previous = this.digests.get(memberId);
        if (previous !== undefined && previous.digest.sequence >= digest.sequence) {
            return;
        }
        // Digests may have waited in the socket's buffer during a pause, so their time of arrival does not
        // tell their age. The digest that they echo does: they were made after it was sent.
        const echoed = memberId === this.options.memberId ?
            digest.sequence :
            digest.echoes[this.options.memberId];
        const echoedSendTime = this.sendTimes.get(echoed ?? -1) ?? Number.NEGATIVE_INFINITY;
        const received = { digest, receivedAt: this.options.clock.now(), createdAfter: echoedSendTime };
        this.digests.set(memberId, received);
        this.listener?.receiveDigest(memberId, received);
    }

    private recordSendTime(sequence: number): void {
        this.sendTimes.set(sequence, this.options.clock.now());
        this.sendTimes.delete(sequence - MAX_SEND_TIMES);
    }

    private handleLinkChange(memberId: string, up: boolean): void {
        if (up) {
            this.reachablePeers.add(memberId);
        }
        else {
            this.reachablePeers.delete(memberId);
            this.failCalls(memberId);
        }
        this.listener?.handleLinkChange(memberId, up);
    }

    /** Fails the pending calls over a broken link as `lost`, since whether they had an effect is unknown. */
    private failCalls(memberId: string): void {
        for (const [callId, call] of this.pendingCalls) {
            if (call.memberId === memberId) {
                this.settle(callId, { kind: "lost", message: "the link broke before the answer" });
            }
        }
    }

    /** Settles a pending call; a late or duplicate answer is counted and dropped. */
    private settle(callId: string, result: CallResult): void {
        const call = this.pendingCalls.get(callId);
        if (call === undefined) {
            this.options.metrics.count("peer.late_answers");
            return;
        }
        this.pendingCalls.delete(callId);
        this.pendingCallCounts.set(call.memberId, (this.pendingCallCounts.get(call.memberId) ?? 1) - 1);
        call.timer.cancel();
        call.settleCall(result);
    }
}
