package org.tanagermoor.session;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** An instance or a stand-in that a test runs as a separate process, with the class path of the test. */
final class StartedProcess implements AutoCloseable {

    private static final long TIMEOUT_SECONDS = 60;

    private final String name;

    private final Process process;

    private final CompletableFuture<String> ready = new CompletableFuture<>();

    private final List<String> outputLines = new ArrayList<>();

    private StartedProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        Thread reader = new Thread(this::readOutput, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    static StartedProcess start(String name, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx160m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(variable -> variable.startsWith("TANAGERMOOR_"));
        try {
            return new StartedProcess(name, builder.start());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Waits for the output line that starts with {@code ready} and returns the rest of that line. */
    String awaitReady() {
        try {
            return ready.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception exception) {
            throw new IllegalStateException(name + " did not become ready:\n" + output(), exception);
        }
    }

    /** Kills the process without a planned stop, as a crash of the machine would. */
    void kill() {
        process.destroyForcibly();
        join();
    }

    /** Requests a planned stop and waits until the process has ended. */
    void terminate() {
        process.destroy();
        join();
    }

    /** Sends {@code STOP} or {@code CONT}, which suspends or resumes the process, to simulate a long pause. */
    void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isRunning() {
        return process.isAlive();
    }

    String output() {
        synchronized (outputLines) {
            return String.join("\n", outputLines);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            signal("CONT");
            kill();
        }
    }

    private void join() {
        try {
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not end:\n" + output());
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void readOutput() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (outputLines) {
                    outputLines.add(line);
                }
                if (line.startsWith("ready")) {
                    ready.complete(line.substring("ready".length()).trim());
                }
            }
        } catch (IOException exception) {
            synchronized (outputLines) {
                outputLines.add(exception.toString());
            }
        }
        ready.completeExceptionally(new IllegalStateException("the process ended"));
    }

    static Map<String, String> environment(String instances, String key) {
        return Map.of(
                "TANAGERMOOR_INSTANCES", instances, "TANAGERMOOR_OPERATOR_KEY", "operator", "TANAGERMOOR_KEY", key);
    }
}
