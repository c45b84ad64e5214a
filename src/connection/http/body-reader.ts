/** Reads the body of one request within its limit and within the limit for all requests together. */
import type { IncomingMessage } from "node:http";

/** Result of reading a body. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Uint8Array; }
    | { readonly kind: "tooLarge"; }
    /** All requests together hold as much as they may. */
    | { readonly kind: "noRoom"; }
    /** The client went away, or its time was over, before the body was whole. */
    | { readonly kind: "truncated"; };

/** Counts bytes of bodies that are being received. */
export class BodyBudget {
    private heldBytes = 0;

    constructor(private readonly maxBytes: number) {}

    /** @returns Whether there was room. */
    tryHold(bytes: number): boolean {
        if (this.heldBytes + bytes > this.maxBytes) {
            return false;
        }
        this.heldBytes += bytes;
        return true;
    }

    /** Gives bytes back that were held. */
    release(bytes: number): void {
        this.heldBytes -= bytes;
    }

    /** Returns the bytes that are held now. */
    getHeldBytes(): number {
        return this.heldBytes;
    }
}

const NO_BODY = new Uint8Array(0);

/** Tells whether a request says that a body follows. */
export function hasBody(request: IncomingMessage): boolean {
    const length = request.headers["content-length"];
    return request.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}

/**
 * Reads a body.
 * @param request - Its stream has not been read yet.
 * @param maxBytes - Limit of this body. One that declares more is refused before anything is read.
 * @param budget - Holds the bytes until the body is whole or given up.
 * @returns Resolves once the result is certain; never rejects.
 */
export function readBody(
    request: IncomingMessage,
    maxBytes: number,
    budget: BodyBudget,
): Promise<BodyResult> {
    if (!hasBody(request)) {
        return Promise.resolve({ kind: "whole", body: NO_BODY });
    }
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve({ kind: "tooLarge" });
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        function finish(result: BodyResult): void {
            request.removeAllListeners("data");
            budget.release(bytes);
            bytes = 0;
            resolve(result);
        }
        request.on("data", (chunk: Buffer) => {
            if (bytes + chunk.length > maxBytes) {
                finish({ kind: "tooLarge" });
            }
            else if (!budget.tryHold(chunk.length)) {
                finish({ kind: "noRoom" });
            }
            else {
                bytes += chunk.length;
                chunks.push(chunk);
            }
        });
        request.on("end", () => finish({ kind: "whole", body: packChunks(chunks) }));
        request.on("error", () => finish({ kind: "truncated" }));
        request.on("close", () => finish({ kind: "truncated" }));
    });
}

function packChunks(chunks: readonly Buffer[]): Uint8Array {
    const [first] = chunks;
    return chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
}
