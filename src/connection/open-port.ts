/** Opens the port of a TCP or HTTP server. */
import type { Server } from "node:net";

/**
 * Makes a server listen.
 * @param server - TCP or HTTP server. Once it listens, the calling code has to handle its errors.
 * @param host - IP address to listen on.
 * @param port - Port to listen on; 0 lets the operating system pick one.
 * @returns The port that it listens on; rejects if the port cannot be opened.
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
