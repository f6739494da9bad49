package org.tanagermoor.gateway.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/**
 * Decodes the answers of a target. Bytes whose status is none of HTTP (RFC 9110, section 15) are no answer; the decoder
 * of the library takes any number for one. Neither is a switch of protocols, since no request asks for it.
 */
final class TargetAnswerDecoder extends HttpResponseDecoder {

    /** Matches the three digits of a status, other than that of a switch of protocols. */
    private static final Pattern STATUS = Pattern.compile("(?!101)[1-5][0-9]{2}");

    /** Returns whether the answer to the current request has no body, whatever its head says. */
    private final BooleanSupplier bodiless;

    /**
     * Creates a decoder.
     *
     * @param maxHeadBytes The maximum length of a status line, of all header lines, and of a piece of a body, in bytes.
     * @param bodiless Returns whether the answer to the current request has no body, whatever its head says.
     */
    TargetAnswerDecoder(int maxHeadBytes, BooleanSupplier bodiless) {
        super(maxHeadBytes, maxHeadBytes, maxHeadBytes);
        this.bodiless = bodiless;
    }

    /** {@inheritDoc} */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("no status of HTTP: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    /** {@inheritDoc} */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean last = message instanceof HttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        return (last && bodiless.getAsBoolean()) || super.isContentAlwaysEmpty(message);
    }
}
