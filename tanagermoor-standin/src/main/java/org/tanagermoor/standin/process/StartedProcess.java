package org.tanagermoor.standin.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** An instance or a stand-in that a test runs as a separate process, with the class path of the test. */
public final class StartedProcess implements AutoCloseable {

    private static final long TIMEOUT_SECONDS = 60;

    /** The maximum number of lines of the output that are kept. */
    private static final int MAX_OUTPUT_LINES = 20_000;

    private final String name;

    private final Process process;

    private final CompletableFuture<String> ready = new CompletableFuture<>();

    /** The last lines of the output. Guarded by itself. */
    private final Deque<String> outputLines = new ArrayDeque<>();

    private StartedProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        Thread reader = new Thread(this::readOutput, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts a process.
     *
     * @param name A name for messages.
     * @param mainClass The class whose main method runs, from the class path of this process.
     * @param arguments Its arguments.
     * @return The process, which may not be ready yet.
     */
    public static StartedProcess start(String name, String mainClass, List<String> arguments) {
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
    public String awaitReady() {
        try {
            return ready.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (Exception exception) {
            throw new IllegalStateException(name + " did not become ready:\n" + output(), exception);
        }
    }

    /** Kills the process without a planned stop, as a crash of the machine would. */
    public void kill() {
        process.destroyForcibly();
        join();
    }

    /** Requests a planned stop and waits until the process has ended. */
    public void terminate() {
        process.destroy();
        join();
    }

    /**
     * Sends a signal, for example {@code STOP} or {@code CONT}, which suspends or resumes the process to simulate a
     * long pause.
     */
    public void signal(String signal) {
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

    /** Returns whether the process has not ended. */
    public boolean isRunning() {
        return process.isAlive();
    }

    /** Returns the last lines of its output, with line feeds between them. */
    public String output() {
        synchronized (outputLines) {
            return String.join("\n", outputLines);
        }
    }

    /** {@inheritDoc} */
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

    private void add(String line) {
        synchronized (outputLines) {
            outputLines.add(line);
            if (outputLines.size() > MAX_OUTPUT_LINES) {
                outputLines.remove();
            }
        }
    }

    private void readOutput() {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                add(line);
                if (line.startsWith("ready")) {
                    ready.complete(line.substring("ready".length()).trim());
                }
            }
        } catch (IOException exception) {
            add(exception.toString());
        }
        ready.completeExceptionally(new IllegalStateException("the process ended"));
    }
}
