/**
 * The label that a start order carries: what a later owner of the worker must know of the task. Workers return
 * it unread.
 */
import type { PlaceOrder } from "../../connection/messages.js";
import type { WorkerTask } from "../ports/worker-port.js";

const LABEL_FORMAT = 1;

/**
 * Encodes an order as a label, without its payload.
 * @param order - The order.
 */
export function encodeLabel(order: PlaceOrder): string {
    return JSON.stringify({ ...order, payload: "", checkpoint: undefined, format: LABEL_FORMAT });
}

/**
 * Decodes the label of a task.
 * @param task - The task as its worker reports it.
 * @returns The order without its payload, or undefined when another program started the task.
 */
export function decodeLabel(task: WorkerTask): PlaceOrder | undefined {
    let value: unknown;
    try {
        value = JSON.parse(task.label);
    }
    catch {
        return undefined;
    }
    if (typeof value !== "object" || !isLabel(value as Partial<PlaceOrder>)) {
        return undefined;
    }
    return { ...value as PlaceOrder, resources: task.resources };
}

function isLabel(value: Partial<PlaceOrder> & { readonly format?: number; }): boolean {
    return value.format === LABEL_FORMAT && typeof value.attempt === "string" &&
        typeof value.home === "object";
}
