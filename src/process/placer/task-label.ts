/**
 * The label of a start order: what a later owner of the worker needs to know about the task. Workers store it
 * and return it unchanged.
 */
import type { PlaceOrder } from "../../connection/messages.js";
import type { WorkerTask } from "../ports/worker-port.js";

const LABEL_FORMAT = 1;

/** Encodes an order as a label, without its payload and checkpoint. */
export function encodeLabel(order: PlaceOrder): string {
    return JSON.stringify({ ...order, payload: "", checkpoint: undefined, format: LABEL_FORMAT });
}

/**
 * Decodes the label of a task that a worker reported.
 * @returns The order without its payload, or undefined if the label was not written by a placer.
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
