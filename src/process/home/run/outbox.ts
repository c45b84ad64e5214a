/** One-way messages to placers, collected for one round and sent in batches; withdrawals are rate-limited. */
import type { PlaceOrder } from "../../../connection/messages.js";
import type { SliceCore } from "./core.js";

const MAX_ORDERS_PER_NOTIFICATION = 64;
const MAX_ATTEMPTS_PER_NOTIFICATION = 512;

interface Withdrawal {
    readonly memberId: string;
    readonly attempt: string;
}

/** Called with an order that was not handed to any connection, so the placer cannot have received it. */
export type UnsentListener = (memberId: string, order: PlaceOrder) => void;

/** Notifications of one slice that wait to be sent. */
export class Outbox {
    private readonly orders = new Map<string, PlaceOrder[]>();
    private readonly acknowledgements = new Map<string, string[]>();
    private readonly confirmations = new Map<string, string[]>();
    private withdrawals: Withdrawal[] = [];

    constructor(private readonly core: SliceCore) {}

    addOrder(memberId: string, order: PlaceOrder): void {
        pushTo(this.orders, memberId, order);
    }

    addAcknowledgement(memberId: string, attempt: string): void {
        pushTo(this.acknowledgements, memberId, attempt);
    }

    addConfirmation(memberId: string, attempt: string): void {
        pushTo(this.confirmations, memberId, attempt);
    }

    addWithdrawal(memberId: string, attempt: string): void {
        this.withdrawals.push({ memberId, attempt });
    }

    countWithdrawals(): number {
        return this.withdrawals.length;
    }

    /**
     * Sends the collected notifications. While this entry may not order, orders are reported as unsent and
     * confirmations stay in the outbox.
     * @param handleUnsent - Called with each order that no connection accepted.
     */
    flush(handleUnsent: UnsentListener): void {
        this.flushAttempts("acknowledge", this.acknowledgements);
        if (this.core.mayOrder()) {
            this.flushAttempts("confirm", this.confirmations);
        }
        this.flushWithdrawals();
        for (const [memberId, orders] of this.orders) {
            this.orders.delete(memberId);
            for (const group of splitOrders(orders)) {
                const isSent = this.core.mayOrder() &&
                    this.core.context.peers.notify(memberId, { kind: "place", orders: group });
                if (!isSent) {
                    group.forEach(order => handleUnsent(memberId, order));
                }
            }
        }
    }

    private flushAttempts(kind: "acknowledge" | "confirm", byMember: Map<string, string[]>): void {
        const homeSlice = this.core.slice;
        for (const [memberId, attempts] of byMember) {
            byMember.delete(memberId);
            for (let start = 0; start < attempts.length; start += MAX_ATTEMPTS_PER_NOTIFICATION) {
                const part = attempts.slice(start, start + MAX_ATTEMPTS_PER_NOTIFICATION);
                this.core.context.peers.notify(memberId, { kind, homeSlice, attempts: part });
            }
        }
    }

    private flushWithdrawals(): void {
        const homeSlice = this.core.slice;
        const due = this.withdrawals.splice(0, this.core.options.withdrawalsPerTick);
        const byMember = new Map<string, string[]>();
        for (const { memberId, attempt } of due) {
            pushTo(byMember, memberId, attempt);
        }
        for (const [memberId, attempts] of byMember) {
            this.core.context.peers.notify(memberId, { kind: "withdraw", homeSlice, attempts, stop: true });
        }
    }
}

/** Groups orders for sending. A gang's orders stay together, since their arrival commits the gang's hold. */
function splitOrders(orders: readonly PlaceOrder[]): PlaceOrder[][] {
    const gangs = new Map<string, PlaceOrder[]>();
    const groups: PlaceOrder[][] = [];
    let single: PlaceOrder[] = [];
    for (const order of orders) {
        if (order.gangId !== undefined) {
            pushTo(gangs, order.gangId, order);
            continue;
        }
        if (single.length === 0 || single.length >= MAX_ORDERS_PER_NOTIFICATION) {
            single = [];
            groups.push(single);
        }
        single.push(order);
    }
    return [...groups, ...gangs.values()];
}

function pushTo<Value>(lists: Map<string, Value[]>, key: string, value: Value): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [value]);
    }
    else {
        list.push(value);
    }
}
