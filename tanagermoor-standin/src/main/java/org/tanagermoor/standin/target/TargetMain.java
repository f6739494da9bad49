package org.tanagermoor.standin.target;

import java.util.List;

/** Runs a stand-in target as a process. */
public final class TargetMain {

    /** The exit status for wrong settings. */
    private static final int STATUS_SETTINGS = 2;

    /** There are no instances. */
    private TargetMain() {}

    /**
     * Runs a stand-in target until the process is ended.
     *
     * @param arguments The flags.
     * @throws InterruptedException If the wait is interrupted.
     */
    public static void main(String[] arguments) throws InterruptedException {
        var options = TargetOptions.parse(List.of(arguments), System.getenv());
        if (options.isLeft()) {
            options.getLeft().forEach(System.err::println);
            System.exit(STATUS_SETTINGS);
            return;
        }
        StandInTarget target = StandInTarget.start(options.get());
        System.out.println("ready " + target.address());
        System.out.flush();
        Thread.currentThread().join();
    }
}
