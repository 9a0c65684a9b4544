package org.persimmonwalk.internal.tls;

/** Is told of each file that cannot be used. */
public interface TlsFaultListener {

  /**
   * Reports a fault.
   *
   * @param setting the setting that names the file: certificate, key or authorities
   * @param detail the file and what is wrong with it
   */
  void fault(String setting, String detail);
}
