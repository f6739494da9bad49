package org.tanagermoor.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of keys and contents. */
public final class Digests {

    private Digests() {}

    /**
     * Returns the SHA-256 of a text.
     *
     * @param text The text, which is encoded as UTF-8.
     * @return 64 lower-case hexadecimal digits.
     */
    public static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the SHA-256 of a byte array.
     *
     * @param bytes The input.
     * @return 64 lower-case hexadecimal digits.
     */
    public static String sha256(byte[] bytes) {
        return HexFormat.of().formatHex(newSha256().digest(bytes));
    }

    /**
     * Returns a new SHA-256 digest without input, for contents that arrive in pieces.
     *
     * @return A digest, which is not thread-safe.
     */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
