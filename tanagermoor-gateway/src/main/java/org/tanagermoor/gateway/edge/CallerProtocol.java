package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.gateway.job.JobPage;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.kernel.setting.Address;

/** Decodes the requests of callers and encodes the answers to them. */
public interface CallerProtocol {

    /** Decodes a request without its body. */
    CallerRequest decode(FullHttpRequest request);

    /**
     * Decodes the items of a job.
     *
     * @param body The body of the submission.
     * @return The items, or a description of the error in the body.
     */
    Either<String, List<JobItem>> items(ByteBuf body);

    /** Encodes the answer to a readiness check. */
    FullHttpResponse readiness(boolean ready);

    /**
     * Encodes the answer to a request for the directory.
     *
     * @param instances The addresses of instances for callers.
     * @param seconds How long callers may keep the answer, in seconds.
     * @return The complete answer.
     */
    FullHttpResponse directory(List<Address> instances, int seconds);

    /** Encodes a refusal. */
    FullHttpResponse refusal(Refusal refusal);

    /** Encodes the head of a target's answer for a caller. */
    HttpResponse head(HttpResponse fromTarget);

    /** Encodes the confirmation that a job is accepted. */
    FullHttpResponse accepted();

    /** Encodes results of a job. */
    FullHttpResponse results(JobPage page);

    /** Returns the number of bytes that an output takes in an answer with results. */
    int answerBytes(String output);

    /** Encodes the answer to a request for the body of an item. */
    FullHttpResponse item(byte[] body);

    /** Encodes the confirmation that a job is ended. */
    FullHttpResponse ended();
}
