package review;

/** The case could not run, which is neither a pass nor a failure. */
final class CannotRun extends Exception {
  private static final long serialVersionUID = 1L;

  CannotRun(String reason) {
    super(reason);
  }
}
