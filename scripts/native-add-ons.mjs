/** esbuild plugin that leaves native add-ons out of the bundles. */

/**
 * Replaces native add-ons by modules that throw, upon which cbor-x and hot-shots fall back to JavaScript. If they were
 * `external`, the binary would try to load them at start and Node would print a warning for each.
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
