/** What the bundles of this project leave out. */

/**
 * Native add-ons stay out: cbor-x and hot-shots fall back to JavaScript when loading them throws. As `external`
 * modules they would be asked for at the start of the binary, and Node would print a warning for each.
 */
export const leaveOutNativeAddOns = {
    name: "leave-out-native-add-ons",
    setup({ onResolve, onLoad }) {
        onResolve({ filter: /^(cbor-extract|unix-dgram)$/ }, ({ path }) => ({ path, namespace: "left-out" }));
        onLoad({ filter: /./, namespace: "left-out" }, ({ path }) => ({
            contents: `throw new Error("${path} is not part of the binary");`,
            loader: "js",
        }));
    },
};
