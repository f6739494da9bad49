package org.tanagermoor.kernel.daemon;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * The hangup signal, SIGHUP, with which operators ask a process to reload its settings. The signal ends a Java process
 * that does not handle it. {@code sun.misc.Signal} is not part of the Java standard, so it is called by reflection.
 */
final class HangupSignal {

    private HangupSignal() {}

    /**
     * Runs an action each time the process receives the signal. Logs a warning where the signal cannot be handled.
     *
     * @param action The action, which runs on a separate thread.
     */
    static void handle(Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), signalHandler);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException exception) {
            System.getLogger("org.tanagermoor")
                    .log(System.Logger.Level.WARNING, "the hangup signal cannot be handled", exception);
        }
    }
}
