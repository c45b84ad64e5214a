/** Links between the members of a test: ordered in each direction, lossy when cut, deferred while paused. */
import type { Clock, Millis } from "../../common/clock.js";
import type { PeerMessage } from "../../connection/messages.js";
import type { PeerAddress, PeerListener, PeerPort } from "../../process/ports/index.js";
import type { PausableClock } from "./pausable-clock.js";

/** Timing and buffer size of a {@link FakePeerNetwork}. */
export interface PeerNetworkOptions {
    /** One-way latency in milliseconds. */
    readonly latencyMs?: Millis;
    /** Milliseconds from a cut until both ends detect it; what they send meanwhile is lost. */
    readonly detectMs?: Millis;
    /** Milliseconds from a heal until the link is up again. */
    readonly reconnectMs?: Millis;
    /** Messages in flight in one direction from which on `send` refuses. */
    readonly bufferLimit?: number;
}

const DEFAULTS: Required<PeerNetworkOptions> = {
    latencyMs: 1,
    detectMs: 20,
    reconnectMs: 20,
    bufferLimit: 10_000,
};

/** One end of a link, as its member sees it. */
interface LinkEnd {
    up: boolean;
    inFlight: number;
}

interface Link {
    readonly ends: ReadonlyMap<string, LinkEnd>;
    /** Incremented when the link breaks: messages of an older generation are lost. */
    generation: number;
    cut: boolean;
    /** True from a break until the link is up again; what is sent meanwhile is lost. */
    broken: boolean;
    connecting: boolean;
}

/** All links of one test. */
export class FakePeerNetwork {
    private readonly ports = new Map<string, FakePeerPort>();
    private readonly links = new Map<string, Link>();
    private readonly copies = new WeakMap<PeerMessage, PeerMessage>();
    private readonly options: Required<PeerNetworkOptions>;

    /** @param base - The clock of the whole test. */
    constructor(private readonly base: Clock, options: PeerNetworkOptions = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    /**
     * Creates the port of one member.
     * @param clock - The member's clock: messages are delivered through it.
     */
    createPort(memberId: string, clock: PausableClock): PeerPort {
        const port = new FakePeerPort(memberId, clock, this);
        this.ports.set(memberId, port);
        return port;
    }

    /** Breaks the link between two members and keeps it broken. */
    cutLink(left: string, right: string): void {
        const link = this.getLink(left, right);
        link.cut = true;
        this.breakLink(left, right);
    }

    /** Lets the link between two members come up again. */
    healLink(left: string, right: string): void {
        this.getLink(left, right).cut = false;
        this.scheduleConnect(left, right);
    }

    /** Cuts one member from all others. */
    cutMember(memberId: string): void {
        for (const other of this.listOthers(memberId)) {
            this.cutLink(memberId, other);
        }
    }

    /** Heals all links of one member. */
    healMember(memberId: string): void {
        for (const other of this.listOthers(memberId)) {
            this.healLink(memberId, other);
        }
    }

    /** Cuts every link between these members and the rest. */
    splitHalves(half: readonly string[]): void {
        for (const inside of half) {
            for (const outside of this.listOthers(inside).filter(other => !half.includes(other))) {
                this.cutLink(inside, outside);
            }
        }
    }

    /** Heals all links. */
    healAll(): void {
        for (const memberId of this.ports.keys()) {
            this.healMember(memberId);
        }
    }

    /** Removes a member, as the death of its process does: its links break. */
    removeMember(memberId: string): void {
        const others = this.listOthers(memberId);
        this.ports.delete(memberId);
        others.forEach(other => this.breakLink(memberId, other));
    }

    /** Connects or breaks a member's links according to the peers that both ends have set; for ports only. */
    syncLinks(memberId: string): void {
        for (const other of this.listOthers(memberId)) {
            if (this.isWantedLink(memberId, other)) {
                this.scheduleConnect(memberId, other);
            }
            else if (this.isUpAtEitherEnd(memberId, other)) {
                this.breakLink(memberId, other);
            }
        }
    }

    /** Sends over a link; for ports only. */
    send(from: string, to: string, message: PeerMessage): boolean {
        const link = this.getLink(from, to);
        const end = getEnd(link, from);
        if (!end.up || end.inFlight >= this.options.bufferLimit) {
            return false;
        }
        const { generation } = link;
        end.inFlight++;
        if (link.broken) {
            return true;
        }
        const copy = this.copyMessage(message);
        this.base.schedule(this.options.latencyMs, () => {
            this.ports.get(to)?.clock.post(() => {
                if (link.generation === generation) {
                    end.inFlight--;
                    this.ports.get(to)?.listener?.receiveMessage(from, copy);
                }
            });
        });
        return true;
    }

    /**
     * A message sent to several members is copied only once, since receivers only read it. Digests, by far the
     * most frequent messages, are built anew for each send and need no copy.
     */
    private copyMessage(message: PeerMessage): PeerMessage {
        if (message.kind === "digest") {
            return message;
        }
        const copy = this.copies.get(message) ?? structuredClone(message);
        this.copies.set(message, copy);
        return copy;
    }

    private breakLink(left: string, right: string): void {
        const link = this.getLink(left, right);
        link.generation++;
        link.broken = true;
        const { generation } = link;
        this.base.schedule(this.options.detectMs, () => {
            if (link.generation === generation) {
                this.setEnd(link, left, right, false);
                this.setEnd(link, right, left, false);
                this.scheduleConnect(left, right);
            }
        });
    }

    private scheduleConnect(left: string, right: string): void {
        const link = this.getLink(left, right);
        if (link.connecting) {
            return;
        }
        link.connecting = true;
        this.base.schedule(this.options.reconnectMs, () => {
            link.connecting = false;
            if (link.cut || !this.isWantedLink(left, right) || this.isUpAtEitherEnd(left, right)) {
                return;
            }
            link.broken = false;
            this.setEnd(link, left, right, true);
            this.setEnd(link, right, left, true);
        });
    }

    private setEnd(link: Link, memberId: string, other: string, up: boolean): void {
        const end = getEnd(link, memberId);
        if (end.up === up) {
            return;
        }
        end.up = up;
        end.inFlight = 0;
        const port = this.ports.get(memberId);
        port?.clock.post(() => port.listener?.handleLinkChange(other, up));
    }

    private isWantedLink(left: string, right: string): boolean {
        return (this.ports.get(left)?.hasPeer(right) ?? false) &&
            (this.ports.get(right)?.hasPeer(left) ?? false);
    }

    private isUpAtEitherEnd(left: string, right: string): boolean {
        const link = this.getLink(left, right);
        return getEnd(link, left).up || getEnd(link, right).up;
    }

    private listOthers(memberId: string): string[] {
        return [...this.ports.keys()].filter(other => other !== memberId);
    }

    private getLink(left: string, right: string): Link {
        const key = [left, right].sort().join(" ");
        let link = this.links.get(key);
        if (link === undefined) {
            const ends = new Map([left, right].map(id => [id, { up: false, inFlight: 0 }]));
            link = { ends, generation: 0, cut: false, broken: false, connecting: false };
            this.links.set(key, link);
        }
        return link;
    }
}

class FakePeerPort implements PeerPort {
    listener: PeerListener | undefined;
    private wanted = new Set<string>();

    constructor(
        private readonly memberId: string,
        readonly clock: PausableClock,
        private readonly network: FakePeerNetwork,
    ) {}

    setPeers(peers: readonly PeerAddress[]): void {
        this.wanted = new Set(peers.map(peer => peer.memberId).filter(id => id !== this.memberId));
        this.network.syncLinks(this.memberId);
    }

    send(memberId: string, message: PeerMessage): boolean {
        return this.network.send(this.memberId, memberId, message);
    }

    install(listener: PeerListener): void {
        this.listener = listener;
    }

    close(): Promise<void> {
        this.setPeers([]);
        return Promise.resolve();
    }

    hasPeer(memberId: string): boolean {
        return this.wanted.has(memberId);
    }
}

function getEnd(link: Link, memberId: string): LinkEnd {
    const end = link.ends.get(memberId);
    if (end === undefined) {
        throw new Error(`${memberId} is not an end of this link`);
    }
    return end;
}
