/** Reads request bodies within a limit for each body and a limit for what all clients hold. */
import type { IncomingMessage } from "node:http";

/** Result of reading a body. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Uint8Array; }
    | { readonly kind: "tooLarge"; }
    /** The process has no memory for the body. */
    | { readonly kind: "noRoom"; }
    /** The client disconnected, or the request timed out, before the body was complete. */
    | { readonly kind: "truncated"; };

/** Accounts for the memory of a body until its request is answered. */
export interface BodyHolder {
    /** Holds more bytes; returns whether the process has memory for them. */
    tryHold(bytes: number): boolean;
}

const NO_BODY = new Uint8Array(0);
/** Size of the first buffer of a body whose length is unknown or greater. */
const FIRST_BUFFER_BYTES = 4_096;

/** Returns whether the headers of a request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
    const length = request.headers["content-length"];
    return request.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}

/**
 * Reads the body of a request.
 * @param request - A request whose stream has not been read yet.
 * @param maxBytes - Limit for this body. A body that declares a larger size is refused before anything is
 * read.
 * @param holder - Holds the memory of the body as it is allocated.
 * @returns The result; never rejects.
 */
export function readBody(
    request: IncomingMessage,
    maxBytes: number,
    holder: BodyHolder,
): Promise<BodyResult> {
    if (!hasBody(request)) {
        return Promise.resolve({ kind: "whole", body: NO_BODY });
    }
    const declaredBytes = Number(request.headers["content-length"] ?? maxBytes);
    if (declaredBytes > maxBytes) {
        return Promise.resolve({ kind: "tooLarge" });
    }
    return new Promise(resolve => {
        const body = new BodyBuffer(declaredBytes, holder);
        function finish(result: BodyResult): void {
            request.removeAllListeners("data");
            resolve(result);
        }
        request.on("data", (chunk: Buffer) => {
            const kind = body.append(chunk);
            if (kind !== "appended") {
                finish({ kind });
            }
        });
        request.on("end", () => finish({ kind: "whole", body: body.getBytes() }));
        request.on("error", () => finish({ kind: "truncated" }));
        request.on("close", () => finish({ kind: "truncated" }));
    });
}

/** A body in one growing buffer: chunks of a few bytes would each take far more memory than they bring. */
class BodyBuffer {
    private buffer = Buffer.alloc(0);
    private length = 0;

    constructor(private readonly maxBytes: number, private readonly holder: BodyHolder) {}

    append(chunk: Buffer): "appended" | "tooLarge" | "noRoom" {
        const length = this.length + chunk.length;
        if (length > this.maxBytes) {
            return "tooLarge";
        }
        if (length > this.buffer.length && !this.tryGrow(length)) {
            return "noRoom";
        }
        chunk.copy(this.buffer, this.length);
        this.length = length;
        return "appended";
    }

    getBytes(): Uint8Array {
        return this.buffer.subarray(0, this.length);
    }

    private tryGrow(length: number): boolean {
        const capacity = Math.min(
            this.maxBytes,
            Math.max(length, 2 * this.buffer.length, FIRST_BUFFER_BYTES),
        );
        if (!this.holder.tryHold(capacity - this.buffer.length)) {
            return false;
        }
        const larger = Buffer.allocUnsafe(capacity);
        this.buffer.copy(larger, 0, 0, this.length);
        this.buffer = larger;
        return true;
    }
}
