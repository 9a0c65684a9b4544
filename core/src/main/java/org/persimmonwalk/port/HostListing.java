package org.persimmonwalk.port;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.persimmonwalk.model.HostEntry;

/** The platform's list of live and leaving hosts, which lags behind their actual state. */
public interface HostListing {

  /**
   * Reads the list. The stage fails with {@link org.persimmonwalk.result.PersimmonwalkException} if
   * the platform does not answer.
   */
  CompletionStage<List<HostEntry>> list();
}
