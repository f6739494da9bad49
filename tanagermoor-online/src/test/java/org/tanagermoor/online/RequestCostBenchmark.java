package org.tanagermoor.online;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.store.table.TableService;

/**
 * Measures the cost of one request in an instance, without that of callers and targets. Runs as two processes beside
 * stand-in targets: {@code entry <target>...} and {@code load <entry> <path> <body> <requests> <concurrency>}.
 */
final class RequestCostBenchmark {

    private static final int ROUNDS = 5;

    private RequestCostBenchmark() {}

    public static void main(String[] arguments) throws Exception {
        if (arguments[0].equals("entry")) {
            entry(List.of(arguments).subList(1, arguments.length));
        } else {
            load(
                    arguments[1],
                    arguments[2],
                    arguments[3],
                    Integer.parseInt(arguments[4]),
                    Integer.parseInt(arguments[5]));
        }
    }

    private static void entry(List<String> targets) throws Exception {
        OnlineFixture fixture = new OnlineFixture(TableService.InMemory.of());
        targets.forEach(target -> fixture.addTarget(Address.parse(target).get()));
        fixture.endpoints().register("GET", "/cost", (request, response) -> {
            String cost = processor().getProcessCpuTime() + " " + threads().getTotalThreadAllocatedBytes();
            return Responses.json(response, 200, cost);
        });
        System.out.println("ready " + fixture.address());
        Thread.currentThread().join();
    }

    private static void load(String entry, String path, String body, int requests, int concurrency) throws Exception {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .header("authorization", "Bearer " + OnlineFixture.KEY)
                .header("content-type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        String fingerprint = Digests.sha256(body).substring(0, 8);
        System.out.println(
                "path=" + path + " body=" + fingerprint + " requests=" + requests + " at-once=" + concurrency);
        for (int round = 0; round < ROUNDS; round++) {
            long[] before = cost(client, entry);
            long startedAt = System.nanoTime();
            long failed = round(client, request, requests, concurrency);
            double seconds = (System.nanoTime() - startedAt) / 1e9;
            long[] after = cost(client, entry);
            System.out.printf(
                    "round=%d processor-us=%.1f allocated-bytes=%d failed=%d per-second=%.0f%n",
                    round,
                    (after[0] - before[0]) / 1e3 / requests,
                    (after[1] - before[1]) / requests,
                    failed,
                    requests / seconds);
        }
    }

    private static long round(HttpClient client, HttpRequest request, int requests, int concurrency) throws Exception {
        Semaphore permits = new Semaphore(concurrency);
        List<CompletableFuture<Boolean>> answers = new ArrayList<>();
        for (int sent = 0; sent < requests; sent++) {
            permits.acquire();
            answers.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .handle((answer, error) -> {
                        permits.release();
                        return error != null
                                || answer.statusCode() != 200
                                || answer.body().contains("\"error\"");
                    }));
        }
        return answers.stream().filter(CompletableFuture::join).count();
    }

    private static long[] cost(HttpClient client, String entry) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + entry + "/cost")).build();
        String[] fields = client.send(request, HttpResponse.BodyHandlers.ofString())
                .body()
                .replace("\"", "")
                .split(" ");
        return new long[] {Long.parseLong(fields[0]), Long.parseLong(fields[1])};
    }

    private static OperatingSystemMXBean processor() {
        return (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    }

    private static ThreadMXBean threads() {
        return (ThreadMXBean) ManagementFactory.getThreadMXBean();
    }
}
