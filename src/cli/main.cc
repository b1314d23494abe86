// The pistachioweir program.
int main() {
  return 0;
}
