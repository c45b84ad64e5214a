/** Has a server listen, and tells whether it could. */
import type { Server } from "node:net";

/**
 * Starts to listen.
 * @param server - Of TCP or HTTP. Once it listens, its errors are for the caller to handle.
 * @param host - IP number to listen on.
 * @param port - Port to listen on; 0 lets the operating system pick one.
 * @returns The port that it listens on; rejects if it cannot be had.
 */
export function openPort(server: Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            const address = server.address();
            server.off("error", reject);
            resolve(typeof address === "object" ? address?.port ?? 0 : 0);
        });
    });
}
