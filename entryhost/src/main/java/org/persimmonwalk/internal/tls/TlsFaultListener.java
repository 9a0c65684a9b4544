package org.persimmonwalk.internal.tls;

/** Receives the faults found in the files of {@link TlsFiles}. */
public interface TlsFaultListener {

  /**
   * Called for each fault.
   *
   * @param setting the setting that names the file: certificate, key or authorities
   * @param detail the path of the file and what is wrong with it
   */
  void fault(String setting, String detail);
}
